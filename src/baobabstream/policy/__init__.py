"""Routing policies: they turn events and their times into decisions, without I/O or a clock."""
