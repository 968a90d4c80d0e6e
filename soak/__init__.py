"""Soak test: edge daemons under random faults, and a checker of the results."""
