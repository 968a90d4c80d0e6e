"""Communication between daemons: frames, datagrams and gossip."""
