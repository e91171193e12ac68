"""Entry daemon that routes requests by host and path."""
