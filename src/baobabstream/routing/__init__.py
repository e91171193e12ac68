"""Routing configuration, and the selection of backend servers, models and versions."""
