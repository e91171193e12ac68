"""HTTP clients for model engines, plain services and the rating service."""
