"""Evidence, health, floor and choice of targets."""
