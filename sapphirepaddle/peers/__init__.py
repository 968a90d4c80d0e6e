"""Messages, connections and news between daemons."""
