"""Stand-ins for the platform, its object store and the targets."""
