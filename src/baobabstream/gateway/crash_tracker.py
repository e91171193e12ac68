"""Distinguishes requests that crash backend servers from those whose response was merely lost.

A request is identified by its fingerprint, a hash of its content. A request that has crashed
several servers is quarantined: it is refused instead of being sent to another server.
"""

import asyncio
from collections import deque

from baobabstream.backends.http_connection import ConnectFailed, HttpConnection

__all__ = ["CrashTracker"]

# Wait before the server is probed. A crashed server refuses connections at once; one that is alive
# accepts within a round trip.
PROBE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.5
# A crash is reported with each exchange for this time, in case a report is lost.
REPORT_S = 30.0
# Crashes that are kept for reporting; the oldest are dropped.
MAX_REPORTED_CRASHES = 64
# A request that has crashed more servers than this through this gateway is quarantined here, even
# before the coordination hosts quarantine it.
MAX_LOCAL_CRASHES = 2
# Fingerprints whose crashes are counted; the oldest are dropped.
MAX_FINGERPRINTS = 10_000


class CrashTracker:
    """Counts crashes of backend servers by the fingerprint of the request that ran there."""

    def __init__(self) -> None:
        # Time of each crash in seconds, and its report as ``fingerprint:server``.
        self._reports: deque[tuple[float, str]] = deque(maxlen=MAX_REPORTED_CRASHES)
        self._crash_counts: dict[str, int] = {}
        self._quarantined_fingerprints: frozenset[str] = frozenset()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run any more."""
        return (
            fingerprint in self._quarantined_fingerprints
            or self._crash_counts.get(fingerprint, 0) > MAX_LOCAL_CRASHES
        )

    def add_quarantined(self, fingerprints: tuple[str, ...]) -> None:
        """Quarantine requests that the coordination hosts found from all gateways' reports."""
        if fingerprints:
            self._quarantined_fingerprints = self._quarantined_fingerprints | frozenset(
                fingerprints
            )

    def reports(self, now_s: float) -> tuple[str, ...]:
        """Return the recent crashes, to be reported to the coordination hosts."""
        return tuple(report for crashed_s, report in self._reports if crashed_s + REPORT_S > now_s)

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that has now been answered."""
        self._crash_counts.pop(fingerprint, None)

    async def check_crash(
        self, fingerprint: str, server: str, address: str, id_header: str
    ) -> bool:
        """Probe a server whose connection was lost, and record a crash if it is not reachable.

        Parameters
        ----------
        fingerprint
            Fingerprint of the request that ran on the connection.
        server
            Identity of the server process.
        address
            ``IP:PORT`` of the server.
        id_header
            Lower-case name of the request identity header, which the connection needs.

        Returns
        -------
        bool
            Whether the server has crashed.
        """
        await asyncio.sleep(PROBE_DELAY_S)
        ip, _, port = address.partition(":")
        connection = HttpConnection(id_header)
        try:
            await connection.open(ip, int(port), PROBE_TIMEOUT_S)
            return False
        except ConnectFailed:
            self._record_crash(fingerprint, server)
            return True
        finally:
            connection.close()

    def _record_crash(self, fingerprint: str, server: str) -> None:
        """Count a crash and keep its report."""
        self._crash_counts[fingerprint] = self._crash_counts.get(fingerprint, 0) + 1
        if len(self._crash_counts) > MAX_FINGERPRINTS:
            del self._crash_counts[next(iter(self._crash_counts))]
        now_s = asyncio.get_running_loop().time()
        self._reports.append((now_s, f"{fingerprint}:{server}"))
