"""Checks of a configuration before it is sent; performs no I/O."""
