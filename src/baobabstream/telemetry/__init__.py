"""Logs, metrics, the decision log and the event timeline of the daemons."""
