"""Stand-in backend servers for development and tests."""
