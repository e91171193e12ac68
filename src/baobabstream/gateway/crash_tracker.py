"""Tells requests that crash backend servers from requests whose answer was merely lost."""

import asyncio
from collections import deque

from baobabstream.backends.http_connection import ConnectFailed, HttpConnection

__all__ = ["CrashWatch"]

# A crashed server refuses connections at once; one that lives accepts within a round trip.
PROBE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.5
# Losses are reported again with each exchange for this time, in case a report is lost.
REPORT_S = 30.0
MAX_REPORTED = 64
# Servers that one request may crash here before this gateway alone keeps it away.
MAX_LOCAL_CRASHES = 2
MAX_FINGERPRINTS = 10_000


class CrashWatch:
    """Crashes by the fingerprint of the request that ran."""

    def __init__(self) -> None:
        self._reports: deque[tuple[float, str]] = deque(maxlen=MAX_REPORTED)
        self._crashes: dict[str, int] = {}
        self._quarantined: frozenset[str] = frozenset()

    def quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run any more."""
        return (
            fingerprint in self._quarantined
            or self._crashes.get(fingerprint, 0) > MAX_LOCAL_CRASHES
        )

    def set_quarantined(self, fingerprints: tuple[str, ...]) -> None:
        """Take what the coordination hosts have found from all gateways' reports."""
        if fingerprints:
            self._quarantined = self._quarantined | frozenset(fingerprints)

    def reports(self, now_s: float) -> tuple[str, ...]:
        """Return the losses to report."""
        return tuple(report for seen_s, report in self._reports if seen_s + REPORT_S > now_s)

    def answered(self, fingerprint: str) -> None:
        """Clear a request that got its answer."""
        self._crashes.pop(fingerprint, None)

    async def check(self, fingerprint: str, server: str, address: str, id_header: str) -> bool:
        """Find out whether a server whose connection was lost has crashed; returns whether.

        Parameters
        ----------
        fingerprint
            Request that ran on the connection.
        server
            Identity of the server's incarnation.
        address
            ``IP:PORT`` of the server.
        id_header
            Passed to the connection.
        """
        await asyncio.sleep(PROBE_DELAY_S)
        ip, _, port = address.partition(":")
        connection = HttpConnection(id_header)
        try:
            await connection.open(ip, int(port), PROBE_TIMEOUT_S)
            return False
        except ConnectFailed:
            self._note(fingerprint, server)
            return True
        finally:
            connection.close()

    def _note(self, fingerprint: str, server: str) -> None:
        self._crashes[fingerprint] = self._crashes.get(fingerprint, 0) + 1
        if len(self._crashes) > MAX_FINGERPRINTS:
            del self._crashes[next(iter(self._crashes))]
        now_s = asyncio.get_running_loop().time()
        self._reports.append((now_s, f"{fingerprint}:{server}"))
