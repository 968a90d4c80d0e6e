"""Intents, plans and the operators HTTP API."""
