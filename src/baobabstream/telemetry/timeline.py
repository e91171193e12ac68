"""Typed events of one daemon, written as JSON lines."""

from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

from msgspec import Struct
from msgspec.json import Encoder

from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime

__all__ = ["EventKind", "TimeLine", "TimelineEvent"]


class EventKind(StrEnum):
    """Kind of a timeline event."""

    DAEMON_STARTED = "daemon_started"
    DAEMON_STOPPING = "daemon_stopping"
    DAEMON_STOPPED = "daemon_stopped"
    LEADER_ELECTED = "leader_elected"
    LEADER_LOST = "leader_lost"
    CHANGE_ACCEPTED = "change_accepted"
    CHANGE_REFUSED = "change_refused"
    CHANGE_IN_FORCE = "change_in_force"
    CONFIG_APPLIED = "config_applied"
    LEASE_LOST = "lease_lost"
    LEASE_GAINED = "lease_gained"
    BACKEND_ANNOUNCED = "backend_announced"
    BACKEND_GONE = "backend_gone"
    REQUEST_RECEIVED = "request_received"
    REQUEST_REFUSED = "request_refused"
    ATTEMPT_SENT = "attempt_sent"
    FIRST_TOKEN = "first_token"
    ATTEMPT_FAILED = "attempt_failed"
    ATTEMPT_CANCELLED = "attempt_cancelled"
    ANSWER_FINISHED = "answer_finished"
    ANSWER_RATED = "answer_rated"
    BILL_STORED = "bill_stored"
    CLAIM_CHANGED = "claim_changed"
    ENGINE_REQUEST_STARTED = "engine_request_started"
    ENGINE_REQUEST_FINISHED = "engine_request_finished"
    VERSION_STOPPED = "version_stopped"
    ROLLOUT_STEP = "rollout_step"
    REQUEST_QUARANTINED = "request_quarantined"
    ORDER_SENT = "order_sent"


class TimelineEvent(Struct, frozen=True):
    """One event. ``request_id`` and ``revision`` are empty or 0 where they do not apply."""

    time: HybridTime
    host: str
    role: str
    kind: EventKind
    request_id: str = ""
    revision: int = 0
    detail: str = ""


class TimeLine:
    """Writes the events of one daemon.

    Parameters
    ----------
    path
        File to append to, or None to drop the events.
    host, role
        Name of this host and role of this daemon.
    clock
        Clock that stamps the events.
    on_emit
        Called with the kind of each event, also when there is no file.
    """

    def __init__(
        self,
        path: Path | None,
        host: str,
        role: str,
        clock: HybridClock,
        on_emit: Callable[[EventKind], None] | None = None,
    ) -> None:
        self._host = host
        self._role = role
        self._clock = clock
        self._on_emit = on_emit
        self._encoder = Encoder()
        self._file = None
        if path is not None:
            path.parent.mkdir(parents=True, exist_ok=True)
            self._file = path.open("ab", buffering=0)

    def emit(
        self, kind: EventKind, request_id: str = "", revision: int = 0, detail: str = ""
    ) -> None:
        """Write one event with the current time."""
        if self._on_emit is not None:
            self._on_emit(kind)
        if self._file is None:
            return
        now = self._clock.now()
        event = TimelineEvent(now, self._host, self._role, kind, request_id, revision, detail)
        self._file.write(self._encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
            self._file = None
