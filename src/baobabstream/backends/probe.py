"""Health probe that distinguishes a broken connection from a backend server that is down.

When a connection to a backend server stalls, a probe over a new connection shows whether the
server itself still answers.
"""

from enum import StrEnum

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from baobabstream.backends.strict_http import StrictConnector, read_body

__all__ = ["ProbeResult", "Prober"]

# Largest body of a probe's answer; nothing in it is used.
MAX_BODY_BYTES = 64 * 1024


class ProbeResult(StrEnum):
    """Result of a probe over a new connection.

    ``ANSWERS`` means that the server answered with a status below 500, ``SILENT`` that it accepted
    the connection but gave no such answer in time, and ``UNREACHABLE`` that no connection could be
    opened.
    """

    ANSWERS = "answers"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


class Prober:
    """Requests the health of backend servers, each time over a new connection.

    Parameters
    ----------
    timeout_s
        Limit in seconds on the whole probe.
    """

    def __init__(self, timeout_s: float) -> None:
        # ``limit=0`` allows any number of connections; ``force_close`` closes each after its
        # answer.
        timeout = ClientTimeout(total=timeout_s, sock_connect=timeout_s)
        self._session = ClientSession(
            connector=StrictConnector(limit=0, force_close=True), timeout=timeout
        )

    async def probe(self, url: str) -> ProbeResult:
        """Request ``GET /healthz`` from the backend server with base address ``url``.

        A status from 500 on reports an error of the server and counts as no answer.
        """
        try:
            async with self._session.get(f"{url}/healthz") as response:
                await read_body(response, MAX_BODY_BYTES)
        except (ClientConnectorError, ConnectionTimeoutError):
            return ProbeResult.UNREACHABLE
        except (ClientError, TimeoutError, OSError):
            return ProbeResult.SILENT
        return ProbeResult.ANSWERS if response.status < 500 else ProbeResult.SILENT

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
