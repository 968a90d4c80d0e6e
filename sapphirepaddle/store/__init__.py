"""Object stores: interface, implementations, change log and snapshots."""
