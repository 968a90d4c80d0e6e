"""Tests of the objects package."""
