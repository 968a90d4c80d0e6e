"""Tests of the directory package."""
