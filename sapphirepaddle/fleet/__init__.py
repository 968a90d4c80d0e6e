"""Sharing of configuration, observations and roles between daemons."""
