"""Routing configuration, and the selection of backend servers, models and versions.

A gateway uses this package to decide where each HTTP request of a caller goes.
"""
