"""Tells requests that crash backend servers from those whose response was merely lost.

A request is known by its keys: a hash of its content and its shared prompt parts. A gateway reports
the requests that were running at a server when it crashed to the coordination hosts, and whether
requests with the same keys survive elsewhere. The coordination hosts find out from all reports
which keys crash servers, and quarantine them; see `CrashAttribution`. While the gateway reaches no
coordination host, it does the same with what it has seen itself.
"""

import asyncio
from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from itertools import chain

from baobabstream.backends.connector import Connector
from baobabstream.backends.http_connection import ConnectFailed
from baobabstream.paths.path_connector import NoPath
from baobabstream.routing.crash_attribution import MEMORY_S, CrashAttribution, RequestKeys
from baobabstream.routing.quarantine_ages import (
    quarantines_from_messages,
    quarantines_to_messages,
)
from baobabstream.wire.coordination_messages import Quarantine, ServerCrash

__all__ = ["CrashTracker"]

# Wait in seconds between the loss of a connection and the probe of the server, so that a process
# that is crashing has ended.
PROBE_DELAY_S = 0.05
# Longest wait for the probe's connection. A crashed server refuses connections at once; one that is
# alive accepts within a round trip.
PROBE_TIMEOUT_S = 0.5
# Most crashed requests that are kept for reporting; the oldest are dropped.
MAX_REPORTS = 256
# Time in seconds without a reply after which the quarantines of a host no longer count, if another
# host replies. The others have been told of them and hold them too, unless they have refuted them.
STALE_HOST_S = 5.0
# Survivals that weigh less are not reported any more.
MIN_REPORTED_WEIGHT = 0.1


@dataclass(frozen=True, slots=True)
class _CrashedRequest:
    """A request whose server crashed before its response had gone on for long.

    Parameters
    ----------
    number
        Position in the order of the reports of this gateway, from 1.
    server_process
        Server and start time of its process, as ``server_id.born_ms``.
    keys
        Keys of the request.
    lost_s
        Time in seconds at which its connection ended.
    """

    number: int
    server_process: str
    keys: RequestKeys
    lost_s: float


class CrashTracker:
    """Crashes that this gateway has seen, and the requests that are quarantined for any."""

    def __init__(self) -> None:
        # All survivals that are recorded here are known at once.
        self._attribution = CrashAttribution(settling_s=0.0)
        self._reports: deque[_CrashedRequest] = deque(maxlen=MAX_REPORTS)
        self._report_count = 0
        # By coordination host: the time of its last reply in seconds; and the keys that a
        # quarantined request has, with the time in seconds since which it is quarantined.
        self._quarantines_by_host: dict[str, tuple[float, dict[RequestKeys, float]]] = {}
        # The same of all hosts and of this gateway together.
        self._quarantines: dict[RequestKeys, float] = {}

    def find_quarantine(
        self, request_keys: RequestKeys, now_s: float
    ) -> tuple[RequestKeys, float] | None:
        """Return why a request must not run, or None if it may.

        Parameters
        ----------
        request_keys
            Keys of the request.
        now_s
            Time in seconds.

        Returns
        -------
        tuple of frozenset and float, or None
            The keys that are quarantined together, and the seconds for which they still are.
        """
        return next(
            (
                (keys, since_s + MEMORY_S - now_s)
                for keys, since_s in self._quarantines.items()
                if keys <= request_keys and since_s + MEMORY_S > now_s
            ),
            None,
        )

    def set_quarantines(
        self, host: str, quarantines: Iterable[Quarantine], now_s: float
    ) -> tuple[set[RequestKeys], set[RequestKeys]]:
        """Replace the quarantines that a coordination host has sent at ``now_s``, in seconds.

        Returns the sets of keys that are quarantined here now and were not before, and the reverse.
        """
        self._quarantines_by_host[host] = (
            now_s,
            quarantines_from_messages(quarantines, now_s),
        )
        self._quarantines_by_host = {
            known_host: (replied_s, host_quarantines)
            for known_host, (replied_s, host_quarantines) in self._quarantines_by_host.items()
            if replied_s + STALE_HOST_S > now_s
        }
        return self._combine_quarantines(now_s)

    def quarantine_reports(self, now_s: float) -> tuple[Quarantine, ...]:
        """Return all quarantines that are known here, for a coordination host that lacks some.

        ``now_s`` is the time in seconds.
        """
        in_force = {
            keys: since_s
            for keys, since_s in self._quarantines.items()
            if since_s + MEMORY_S > now_s
        }
        return quarantines_to_messages(in_force, now_s)

    def crash_reports(self, after_number: int, now_s: float) -> tuple[ServerCrash, ...]:
        """Return the crashes of the reports after a number, to be sent to a coordination host.

        ``now_s`` is the time in seconds, from which the ages count.
        """
        return tuple(
            ServerCrash(
                report.server_process,
                int((now_s - report.lost_s) * 1000),
                (tuple(sorted(report.keys)),),
            )
            for report in self._reports
            if report.number > after_number and report.lost_s + MEMORY_S > now_s
        )

    @property
    def last_report_number(self) -> int:
        """Number of the newest report, or 0 without any."""
        return self._report_count

    def record_survival(self, request_keys: Iterable[str], now_s: float) -> None:
        """Record that a server which began to answer a request is alive at ``now_s`` in seconds."""
        for key in request_keys:
            self._attribution.record_survival(key, now_s)

    def survivals(self, suspects: Iterable[str], now_s: float) -> dict[str, float]:
        """Return for keys that coordination hosts suspect how many requests survived here lately.

        See `CrashAttribution.survival_weight`; ``now_s`` is the time in seconds. Keys without
        survivals are left out.
        """
        weights = ((key, self._attribution.survival_weight(key, now_s)) for key in suspects)
        return {key: weight for key, weight in weights if weight >= MIN_REPORTED_WEIGHT}

    async def check_crash(self, connector: Connector) -> bool:
        """Probe a server whose connection was lost, and return whether it is not reachable.

        The probe opens a connection and closes it without sending a request. A server that accepts
        it is alive, so only the response was lost, for instance with a connection that the server
        had closed as idle.

        Parameters
        ----------
        connector
            Opens the connection.

        Raises
        ------
        NoPath
            If there is no path to the server, so that nothing is known of it.
        """
        await asyncio.sleep(PROBE_DELAY_S)
        try:
            connection = await connector.connect(PROBE_TIMEOUT_S)
        except ConnectFailed as error:
            if isinstance(error, NoPath):
                raise
            return True
        connection.close()
        return False

    def record_crash(
        self,
        server_process: str,
        requests: Collection[RequestKeys],
        lost_s: float,
        now_s: float,
        is_in_contact: bool,
    ) -> tuple[set[RequestKeys], set[RequestKeys]]:
        """Record that a server crashed while it began to answer some requests.

        Parameters
        ----------
        server_process
            Server and start time of its process, as ``server_id.born_ms``.
        requests
            Keys of each request.
        lost_s, now_s
            Time at which a connection ended, and the present time, in seconds.
        is_in_contact
            Whether coordination hosts decide on quarantines. They know all survivals, of which
            this gateway sees a part.

        Returns
        -------
        tuple of set and set
            The sets of keys that are quarantined now and were not before, and the reverse.
        """
        for request_keys in requests:
            self._report_count += 1
            self._reports.append(
                _CrashedRequest(self._report_count, server_process, request_keys, lost_s)
            )
        self._attribution.record_crash(server_process, requests, lost_s, now_s)
        if not is_in_contact:
            self._attribution.update(now_s)
        return self._combine_quarantines(now_s)

    def _combine_quarantines(self, now_s: float) -> tuple[set[RequestKeys], set[RequestKeys]]:
        """Join the quarantines of all hosts; return the added and the removed sets of keys."""
        before = self._quarantines
        self._quarantines = dict(
            chain(
                self._attribution.quarantines(now_s).items(),
                *(quarantines.items() for _, quarantines in self._quarantines_by_host.values()),
            )
        )
        return self._quarantines.keys() - before.keys(), before.keys() - self._quarantines.keys()
