"""Control daemon: configuration state machine, registry, admin interface."""
