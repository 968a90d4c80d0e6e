"""Tests of objects."""
