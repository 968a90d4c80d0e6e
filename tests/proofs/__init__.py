"""Proofs over real processes."""
