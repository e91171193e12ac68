"""Entry daemon: serves callers over HTTP and relays the answers of backend servers."""
