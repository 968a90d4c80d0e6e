"""Shared fixtures of the tests."""
