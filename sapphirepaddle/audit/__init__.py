"""Audit log of operator changes and automatic decisions."""
