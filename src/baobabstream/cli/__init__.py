"""Command-line client and daemon commands."""
