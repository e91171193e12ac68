"""Adapter to the platform that runs the daemons: its names, message formats and HTTP calls."""
