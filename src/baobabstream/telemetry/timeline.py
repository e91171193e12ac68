"""Event timeline of one process, written to a file as JSON lines.

The timeline records what a daemon or an emulated backend server did, for tests and for operators.
The files of several processes are merged later, in the order of their hybrid times: wall times that
were corrected so that no event is earlier than its cause on another host.

Terms of the events: an *entry* daemon accepts the requests of callers; *control* daemons elect a
leader, which replicates the configuration. A *change* of the configuration has a number, its
*revision*, and is in force once every entry daemon with a valid *lease*, the time-limited right to
admit requests, has applied it. An *engine* is a backend server that runs models, and an *attempt*
is one send of a request to a backend server. A *claim* reserves the execution of a request that is
not idempotent, so that it is not executed twice. A *rollout* moves traffic to a new model version
step by step. A request that crashed backend servers is *quarantined*: it is not executed again. An
*order* tells an engine, for example, to load or unload a model version. A *token* is a unit of text
that a model puts out. A *bill* is the record of one answered request in the billing ledger.
"""

from collections.abc import Callable
from enum import StrEnum
from pathlib import Path

from msgspec import Struct
from msgspec.json import Encoder

from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime

__all__ = ["EventKind", "TimelineWriter", "TimelineEvent"]


class EventKind(StrEnum):
    """Kind of a timeline event; the values stand in the files and in the label ``kind``."""

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
    """One event of the timeline.

    Attributes
    ----------
    time
        Hybrid time of the event.
    host, role
        Name of the host and role of the process, such as ``entry`` or ``engine``.
    kind
        What happened.
    request_id
        Identifier of the request that the event belongs to, or empty.
    revision
        Revision of the configuration that applied or was changed, or 0.
    detail
        Further text for people, such as the chosen backend server and the reason.
    """

    time: HybridTime
    host: str
    role: str
    kind: EventKind
    request_id: str = ""
    revision: int = 0
    detail: str = ""


class TimelineWriter:
    """Writes the events of one process to a file.

    Parameters
    ----------
    path
        File to append to, or None to write no events.
    host, role
        Name of this host and role of this process, part of each event.
    clock
        Clock that gives the times of the events.
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
            # Unbuffered, so that the events of a process that is killed are in the file.
            self._file = path.open("ab", buffering=0)

    def emit(
        self, kind: EventKind, request_id: str = "", revision: int = 0, detail: str = ""
    ) -> None:
        """Write one event with the current hybrid time.

        Parameters
        ----------
        kind
            What happened.
        request_id
            Identifier of the request that the event belongs to, or empty.
        revision
            Revision of the configuration that applied or was changed, or 0.
        detail
            Further text for people.
        """
        if self._on_emit is not None:
            self._on_emit(kind)
        if self._file is None:
            return
        event_time = self._clock.now()
        event = TimelineEvent(
            event_time, self._host, self._role, kind, request_id, revision, detail
        )
        self._file.write(self._encoder.encode(event) + b"\n")

    def close(self) -> None:
        """Close the file; later events are not written."""
        if self._file is not None:
            self._file.close()
            self._file = None
