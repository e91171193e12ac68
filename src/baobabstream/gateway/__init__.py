"""Gateway daemon of an entry host.

It routes callers' HTTP requests to backend servers by the host name and path of the request.
"""
