"""Operator intents, change plans and the operators' HTTP API."""
