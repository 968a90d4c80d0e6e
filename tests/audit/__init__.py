"""Tests of audit."""
