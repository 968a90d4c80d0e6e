"""Tests of the guarantees of the fleet, over real processes."""
