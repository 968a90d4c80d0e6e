"""Configuration, targets and members as one daemon knows them."""
