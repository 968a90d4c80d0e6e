"""Claiming idempotency keys before requests are dispatched."""
