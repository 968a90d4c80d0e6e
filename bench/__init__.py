"""Benchmarks; run one with python -m bench.NAME."""
