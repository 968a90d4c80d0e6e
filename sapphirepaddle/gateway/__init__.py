"""The request path from caller to target."""
