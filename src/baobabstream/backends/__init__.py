"""HTTP clients towards engines, plain services and the rating service."""
