"""Replicated log of the control hosts."""
