"""Finds the route and the client account of a request.

A route says how the requests to one host name below one path prefix are handled. A client account
is recognized by the API key that a request carries.
"""

from baobabstream.routing.document import ClientAccount, Route, RoutingDocument, ServiceSpec

__all__ = ["RouteTable"]


class RouteTable:
    """Index of one routing configuration.

    Parameters
    ----------
    document
        Configuration that is indexed.

    Attributes
    ----------
    services
        Services of the configuration by name.
    """

    def __init__(self, document: RoutingDocument) -> None:
        self.document = document
        self.services: dict[str, ServiceSpec] = {
            service.name: service for service in document.services
        }
        # By lower-case host name without port, then by path prefix.
        self._routes_by_host: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._routes_by_host.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._accounts_by_key = {
            key: account for account in document.accounts or () for key in account.api_keys
        }

    @property
    def requires_api_key(self) -> bool:
        """Whether requests must carry the key of a client account."""
        return self.document.accounts is not None

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Only prefixes that end with a slash match, so that a prefix never ends within a path
        segment: the path ``/ab`` is not below ``/a/``.

        Parameters
        ----------
        host
            Host as the caller names it, with or without a port.
        path
            Path with or without a query, which starts at ``?`` and is not searched for a prefix.
        """
        # The host name is what precedes the port, if there is one; case does not matter in it.
        routes_by_prefix = self._routes_by_host.get(host.rsplit(":", 1)[0].lower())
        if routes_by_prefix is None:
            return None
        # Length of the longest prefix of the path that ends with a slash; 0 if there is none.
        prefix_length = path.partition("?")[0].rfind("/") + 1
        while prefix_length > 0:
            route = routes_by_prefix.get(path[:prefix_length])
            if route is not None:
                return route
            prefix_length = path.rfind("/", 0, prefix_length - 1) + 1
        return None

    def find_account(self, api_key: str) -> ClientAccount | None:
        """Return the client account that owns an API key, or None if no account does."""
        return self._accounts_by_key.get(api_key)
