"""Claims of idempotency keys before dispatch."""
