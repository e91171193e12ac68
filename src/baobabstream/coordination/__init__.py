"""Coordination daemon, which runs on several hosts beside the gateways.

Its hosts replicate the routing configuration and the rollouts, which move services to new versions.
Each host also relays the announcements of backend servers to the gateways.
"""
