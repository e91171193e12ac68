"""Coordination daemon: replicates routing configurations and rollouts, relays announcements."""
