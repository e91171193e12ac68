"""Combines what the gateways report of crashes of backend servers.

A gateway reports the requests that were running at a server when it crashed, when requests with the
same keys survive, and the quarantines that it knows, in case this host has restarted. Times are
sent as ages, since the hosts' clocks differ.
"""

from baobabstream.routing.crash_attribution import CrashAttribution
from baobabstream.routing.quarantine_ages import (
    quarantines_from_messages,
    quarantines_to_messages,
)
from baobabstream.wire.coordination_messages import ExchangeRequest, Quarantine

__all__ = ["CrashReports"]


class CrashReports:
    """Reports of all gateways to one coordination host, and the quarantines that follow."""

    def __init__(self) -> None:
        self._attribution = CrashAttribution()

    @property
    def revision(self) -> int:
        """Number that rises when the suspects or the quarantines have changed."""
        return self._attribution.revision

    def record(self, report: ExchangeRequest, now_s: float) -> bool:
        """Take over what a gateway reports at ``now_s``, a time in seconds.

        Returns whether the suspects or the quarantines have changed.
        """
        attribution, revision_before = self._attribution, self._attribution.revision
        for key, weight in report.survivals.items():
            attribution.set_survivals(key, report.host, weight, now_s)
        for crash in report.crashes:
            crashed_s = now_s - crash.age_ms / 1000
            attribution.record_crash(crash.server_process, crash.requests, crashed_s, now_s)
        attribution.merge_quarantines(quarantines_from_messages(report.quarantines, now_s), now_s)
        attribution.update(now_s)
        return attribution.revision != revision_before

    def quarantines(self, now_s: float) -> tuple[Quarantine, ...]:
        """Return the quarantines in force at ``now_s``, a time in seconds."""
        return quarantines_to_messages(self._attribution.quarantines(now_s), now_s)

    def suspects(self, now_s: float) -> tuple[str, ...]:
        """Return the keys whose survivals the gateways shall report; ``now_s`` is in seconds."""
        return tuple(sorted(self._attribution.suspects(now_s)))
