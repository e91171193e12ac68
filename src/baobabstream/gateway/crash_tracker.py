"""Distinguishes requests that crash backend servers from those whose response was merely lost.

A request is identified by its fingerprint, a hash of its content, which is the same when the
request is sent again. A request that has crashed several servers is quarantined: it is refused
instead of being sent to another server, since it would probably crash that one too. Each gateway
counts the crashes that it sees, and the coordination hosts count those that all gateways report.
"""

import asyncio
from collections import deque

from baobabstream.backends.http_connection import ConnectFailed, HttpConnection

__all__ = ["CrashTracker"]

# Wait in seconds between the loss of a connection and the probe of the server, so that a process
# that is crashing has ended.
PROBE_DELAY_S = 0.05
# Longest wait for the probe's connection. A crashed server refuses connections at once; one that is
# alive accepts within a round trip.
PROBE_TIMEOUT_S = 0.5
# A crash is reported with each exchange with a coordination host for this time in seconds, in case
# a report is lost.
REPORT_S = 30.0
# Most crashes that are kept for reporting; the oldest are dropped.
MAX_REPORTED_CRASHES = 64
# A request that has crashed more servers than this when sent by this gateway is quarantined here,
# even if the coordination hosts have not quarantined it yet.
MAX_LOCAL_CRASHES = 2
# Most fingerprints whose crashes are counted, to bound the memory; the oldest are dropped.
MAX_FINGERPRINTS = 10_000


class CrashTracker:
    """Counts crashes of backend servers by the fingerprint of the request that ran there."""

    def __init__(self) -> None:
        # Time of each crash in seconds, and its report as ``fingerprint:server_process``.
        self._crash_reports: deque[tuple[float, str]] = deque(maxlen=MAX_REPORTED_CRASHES)
        # By fingerprint: crashes that this gateway has seen since the request was last answered.
        self._crash_counts: dict[str, int] = {}
        self._quarantined_fingerprints: frozenset[str] = frozenset()

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not run any more, as it has crashed several servers."""
        return (
            fingerprint in self._quarantined_fingerprints
            or self._crash_counts.get(fingerprint, 0) > MAX_LOCAL_CRASHES
        )

    def add_quarantined(self, fingerprints: tuple[str, ...]) -> list[str]:
        """Quarantine requests that the coordination hosts name from the reports of all gateways.

        They stay quarantined here until the gateway ends. Returns those that are new.
        """
        added = [name for name in fingerprints if name not in self._quarantined_fingerprints]
        if added:
            self._quarantined_fingerprints = self._quarantined_fingerprints | frozenset(added)
        return added

    def crash_reports(self, now_s: float) -> tuple[str, ...]:
        """Return the recent crashes, to be reported to the coordination hosts.

        Each is a text ``fingerprint:server_process``. ``now_s`` is the present time in seconds.
        """
        return tuple(
            report for crashed_s, report in self._crash_reports if crashed_s + REPORT_S > now_s
        )

    def clear(self, fingerprint: str) -> None:
        """Forget the crashes of a request that a server has now answered without a crash."""
        self._crash_counts.pop(fingerprint, None)

    async def check_crash(
        self, fingerprint: str, server_process: str, address: str, request_id_header: str
    ) -> bool:
        """Probe a server whose connection was lost, and record a crash if it is not reachable.

        The probe opens a connection and closes it without sending a request. A server that accepts
        it is alive, so only the response was lost, for instance with a connection that the server
        had closed as idle.

        Parameters
        ----------
        fingerprint
            Fingerprint of the request that ran on the connection.
        server_process
            Server and start time of its process, as ``server_id.born_ms``.
        address
            ``IP:PORT`` of the server.
        request_id_header
            Lower-case name of the header with the identity of a request, which every connection
            object needs although the probe sends no request.

        Returns
        -------
        bool
            Whether the server has crashed.
        """
        await asyncio.sleep(PROBE_DELAY_S)
        ip, _, port = address.partition(":")
        connection = HttpConnection(request_id_header)
        try:
            await connection.open(ip, int(port), PROBE_TIMEOUT_S)
            return False
        except ConnectFailed:
            self._record_crash(fingerprint, server_process)
            return True
        finally:
            connection.close()

    def _record_crash(self, fingerprint: str, server_process: str) -> None:
        """Count a crash and keep its report; the names are those of `check_crash`."""
        self._crash_counts[fingerprint] = self._crash_counts.get(fingerprint, 0) + 1
        if len(self._crash_counts) > MAX_FINGERPRINTS:
            del self._crash_counts[next(iter(self._crash_counts))]
        now_s = asyncio.get_running_loop().time()
        self._crash_reports.append((now_s, f"{fingerprint}:{server_process}"))
