"""Adapter to the users' platform: names, formats and API calls."""
