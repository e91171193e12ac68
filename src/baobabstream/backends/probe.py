"""Tells a silent connection from a silent backend server."""

from enum import StrEnum

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
)

__all__ = ["ProbeResult", "Prober"]


class ProbeResult(StrEnum):
    """What a new connection to a backend server showed."""

    ANSWERS = "answers"
    SILENT = "silent"
    UNREACHABLE = "unreachable"


class Prober:
    """Asks a backend server for its health over a new connection.

    Parameters
    ----------
    timeout_s
        Limit on the whole probe.
    """

    def __init__(self, timeout_s: float) -> None:
        timeout = ClientTimeout(total=timeout_s, sock_connect=timeout_s)
        self._session = ClientSession(
            connector=TCPConnector(limit=0, force_close=True), timeout=timeout
        )

    async def probe(self, url: str) -> ProbeResult:
        """Return what ``GET /healthz`` of the backend server at ``url`` shows."""
        try:
            async with self._session.get(f"{url}/healthz") as response:
                await response.read()
        except (ClientConnectorError, ConnectionTimeoutError):
            return ProbeResult.UNREACHABLE
        except (ClientError, TimeoutError, OSError):
            return ProbeResult.SILENT
        return ProbeResult.ANSWERS if response.status < 500 else ProbeResult.SILENT

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
