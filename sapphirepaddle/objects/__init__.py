"""Configuration objects stored in the platform."""
