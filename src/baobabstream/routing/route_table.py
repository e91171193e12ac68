"""Finds the route and the client account of a request."""

from baobabstream.routing.document import ClientAccount, Route, RoutingDocument, ServiceSpec

__all__ = ["RouteTable"]


class RouteTable:
    """Index of one routing configuration.

    Parameters
    ----------
    document
        Configuration that the table answers for.
    """

    def __init__(self, document: RoutingDocument) -> None:
        self.document = document
        self.services: dict[str, ServiceSpec] = {item.name: item for item in document.services}
        self._prefixes: dict[str, dict[str, Route]] = {}
        for route in document.routes:
            self._prefixes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._accounts = {
            key: account for account in document.accounts or () for key in account.api_keys
        }

    @property
    def needs_keys(self) -> bool:
        """Whether requests must carry the key of a client account."""
        return self.document.accounts is not None

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host
            Host as the caller names it, with or without a port.
        path
            Path with or without a query.
        """
        prefixes = self._prefixes.get(host.rsplit(":", 1)[0].lower())
        if prefixes is None:
            return None
        end = path.partition("?")[0].rfind("/") + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def account(self, api_key: str) -> ClientAccount | None:
        """Return the client account that holds a key, or None."""
        return self._accounts.get(api_key)
