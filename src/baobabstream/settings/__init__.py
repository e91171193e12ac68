"""Validated settings of the daemons."""
