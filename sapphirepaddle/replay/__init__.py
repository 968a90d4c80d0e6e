"""Replay of recorded traces and checks of their stated outcomes."""
