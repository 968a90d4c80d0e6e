"""Tests of pages that benchmarks write."""
