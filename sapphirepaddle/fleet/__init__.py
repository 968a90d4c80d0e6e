"""How daemons share configuration, membership, evidence and roles."""
