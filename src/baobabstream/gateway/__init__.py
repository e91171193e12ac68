"""Gateway daemon of an entry host, which routes requests by host and path."""
