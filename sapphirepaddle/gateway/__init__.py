"""Request path of the entry daemon, from the caller to the target."""
