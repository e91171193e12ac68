"""Ways from a gateway to the backend servers: its own path, or a tunnel through another gateway.

A gateway that loses its links to servers which other gateways reach sends its requests through
them. The tunnel carries the bytes of one connection, so that all decisions on a request stay with
the gateway that took it.
"""
