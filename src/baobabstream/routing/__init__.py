"""Whole routing configurations and the pure decisions on them."""
