"""Outlier detection, routing sets and selection of targets."""
