"""Fixtures shared by the tests."""
