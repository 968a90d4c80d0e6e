"""A proxy fleet for shared targets with gray failures."""
