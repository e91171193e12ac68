"""Control daemon: replicated configuration, backend server registry and admin interface."""
