"""Logs, metrics and the event timeline."""
