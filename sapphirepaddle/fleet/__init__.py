"""Sharing of configuration, observations and roles between entry daemons."""
