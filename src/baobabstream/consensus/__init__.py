"""Replicated log of the control hosts, by the Raft consensus protocol."""
