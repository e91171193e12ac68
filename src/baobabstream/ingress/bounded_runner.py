"""Runs HTTP servers whose clients share the resources of one process."""

import asyncio
from collections.abc import Callable
from ssl import SSLContext
from typing import Any

from aiohttp import web
from aiohttp.web_server import Server

from baobabstream.ingress.bounded_handler import BoundedRequestHandler
from baobabstream.ingress.bounded_tls import with_tls
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.resources.client_resources import ClientResources
from baobabstream.routing.document import RequestLimits

__all__ = ["OWN_FRONT_LIMITS", "SMALL_BACKLOG", "BoundedAppRunner", "start_bounded_site"]

# Connections that may wait to be accepted at a socket that few clients use.
SMALL_BACKLOG = 16
# Limits on the requests to the entry and control daemons, which have no configuration of them. The
# size of bodies is a setting.
OWN_FRONT_LIMITS = RequestLimits(header_timeout_s=10.0, idle_timeout_s=75.0)


class BoundedAppRunner(web.AppRunner):
    """Runner of an application.

    Parameters
    ----------
    app
        The application.
    resources
        Resources for the clients of the process.
    read_limits
        Returns the limits on the requests of a new connection.
    tls_context
        TLS context of all sites of the runner, or None for plain HTTP.
    **options
        Options of aiohttp's runner.
    """

    def __init__(
        self,
        app: web.Application,
        resources: ClientResources,
        read_limits: Callable[[], RequestLimits] = RequestLimits,
        tls_context: SSLContext | None = None,
        **options: Any,
    ) -> None:
        super().__init__(app, access_log=None, **options)
        self._resources = resources
        self._read_limits = read_limits
        self._tls_context = tls_context

    async def _make_server(self) -> Server:
        """Return the server of the application, with connections that are bounded."""
        server = await super()._make_server()
        return _BoundedServer(server, self._resources, self._read_limits, self._tls_context)


class _BoundedServer(Server):
    """Server that makes bounded handlers, with TLS if it has a context.

    It is otherwise like another server.
    """

    def __init__(
        self,
        server: Server,
        resources: ClientResources,
        read_limits: Callable[[], RequestLimits],
        tls_context: SSLContext | None,
    ) -> None:
        super().__init__(
            server.request_handler,
            request_factory=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            loop=server._loop,
            **server._kwargs,
        )
        self._resources = resources
        self._read_limits = read_limits
        self._make_protocol = with_tls(self._make_handler, tls_context, resources)

    # aiohttp only passes the result on to asyncio.
    def __call__(self) -> asyncio.BaseProtocol:  # type: ignore[override]
        """Return the protocol of a new connection."""
        return self._make_protocol()

    def _make_handler(self) -> BoundedRequestHandler:
        """Return the handler of a new connection, inside TLS if it is used."""
        return BoundedRequestHandler(
            self, self._resources, self._read_limits(), loop=self._loop, **self._kwargs
        )


async def start_bounded_site(
    runner: BoundedAppRunner, ip: str, port: int, backlog: int = SMALL_BACKLOG
) -> None:
    """Start to listen for a runner.

    Parameters
    ----------
    runner
        Runner that has been set up.
    ip, port
        Address to listen on.
    backlog
        Number of connections that may wait to be accepted.

    Raises
    ------
    BaobabstreamError
        ``ADDRESS_IN_USE`` if the address cannot be used.
    """
    listener = open_listening_socket(ip, port, backlog)
    await web.SockSite(runner, listener, backlog=backlog).start()
