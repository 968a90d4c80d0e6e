"""Configuration objects held by the platform."""
