"""Structured log of the decisions of a daemon, one JSON line each, on standard output.

A separate thread writes the lines, so that a slow reader of the output never blocks the event loop.
The number of lines per second is limited; lines above the limit are dropped and counted.

Terms of the events: a *gateway* daemon accepts the requests of callers and sends them to backend
servers; *coordination* daemons elect a leader, which decides the *document*, the versioned
configuration of all hosts. An *attempt* is one send of a request to a backend server. A *rollout*
moves the traffic of a service to a new version step by step. A *route* maps a path to the service
that answers its requests. A *term* is the number of an election of a leader. An *order* is a
command of an operator to a coordination host. A *dependency* is another daemon or service that this
one needs.

Fields whose names end in ``_ms`` are in milliseconds, in ``_s`` in seconds. Fields that do not
explain themselves: ``control_age_ms`` is the time since a coordination host last replied;
``announced_age_ms`` the time since the backend server last announced itself; ``pace_ratio`` the
mean time between the events of a streamed response as a multiple of the expected one; ``run_state``
whether the backend server executed the request (``yes``, ``no`` or ``unknown``); ``hold_ms`` how
long a suspected server is avoided; ``log_ratio`` the logarithm of the likelihood ratio of the test
that stops a bad version; ``target_streams`` and ``base_streams`` how many streams of the new and
the old version were measured for it, and ``pace_quotient`` how many times as long the events of the
new one take; ``away_ms`` how long a dependency did not reply; ``leads`` whether this
host is the leader; ``share`` the share of the traffic, 0 to 1, of the new version; ``confidence``
the value of the response header in which a model states how sure it is of its answer; ``session``
the identifier of the related requests that this one belongs to; ``in_flight`` the number of
requests under way at the server, and ``others_in_flight`` that of the other gateways by their last
reports, which shows that a server that this one does not reach is alive; ``fingerprint`` a hash of
a request's content; ``shared_parts`` the parts of its prompt that other prompts may have too;
``events`` how many events of its answer had arrived when its server crashed,
``answer_age_ms`` how long before that the answer had begun, ``suspects`` how many requests this
gateway holds responsible for the crash, and ``in_service`` whether the server was in use, so that
its end was not expected; ``path`` whether new
connections to a server are opened by this gateway (``direct``) or through another one (``tunnel``),
``lost_paths`` to how many servers it has lost its own path, ``isolated`` whether it takes all of
them to be lost, and ``peers`` how many gateways it can ask.
"""

import asyncio
import os
import time
from collections import Counter
from enum import StrEnum
from queue import Full, Queue
from threading import Thread
from typing import Any

from msgspec.json import Encoder

from baobabstream.telemetry.statistics import StatisticName, Statistics

__all__ = ["EVENT_FIELDS", "DecisionEvent", "DecisionLog"]

# Time between two flushes in seconds: long enough to combine many lines into one write, short
# enough to show a fault as it happens.
FLUSH_INTERVAL_S = 0.2
# Limit of the lines that wait for the next flush; at about 300 bytes each they take 600 KB.
MAX_QUEUED_LINES = 2000
# Limit of the batches that wait for the writing thread; it blocks if the reader of the output stops
# reading. A batch holds the lines of one flush.
MAX_QUEUED_BATCHES = 8
# Limits of the lines in one second. Failures and refusals (important lines) have a limit of their
# own, so that a load peak of ordinary outcomes cannot displace them.
MAX_ORDINARY_PER_S = 40
MAX_IMPORTANT_PER_S = 200


# Longest text in a line; callers may send much longer identities and paths.
MAX_TEXT_LENGTH = 512


class DecisionEvent(StrEnum):
    """Kind of a decision; the value is the field ``event`` of its line."""

    DAEMON_STARTED = "daemon_started"
    DAEMON_STOPPING = "daemon_stopping"
    SETTINGS_RELOADED = "settings_reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_REGAINED = "dependency_regained"
    CLIENT_REFUSED = "client_refused"
    REQUEST_REFUSED = "request_refused"
    REQUEST_ENDED = "request_ended"
    ATTEMPT_FAILED = "attempt_failed"
    SERVER_CHANGED = "server_changed"
    SERVER_SUSPECTED = "server_suspected"
    SERVER_LIMITED = "server_limited"
    SERVER_BRITTLE = "server_brittle"
    PATH_CHANGED = "path_changed"
    SERVER_CRASHED = "server_crashed"
    QUARANTINE_CHANGED = "quarantine_changed"
    DOCUMENT_IN_FORCE = "document_in_force"
    ROLLOUT_CHANGED = "rollout_changed"
    ORDER_DECIDED = "order_decided"
    LEADER_CHANGED = "leader_changed"
    LINES_DROPPED = "lines_dropped"


# Fields of the line of each event, besides ``time_ms``, ``host`` and ``event``.
EVENT_FIELDS: dict[DecisionEvent, tuple[str, ...]] = {
    DecisionEvent.DAEMON_STARTED: ("role", "version"),
    DecisionEvent.DAEMON_STOPPING: ("reason",),
    DecisionEvent.SETTINGS_RELOADED: ("outcome",),
    DecisionEvent.DEPENDENCY_LOST: ("dependency", "reason"),
    DecisionEvent.DEPENDENCY_REGAINED: ("dependency", "away_ms"),
    DecisionEvent.CLIENT_REFUSED: ("side", "reason", "connections", "held_bytes"),
    DecisionEvent.REQUEST_REFUSED: (
        "request_id",
        "route",
        "account",
        "code",
        "reason",
        "retry_after_s",
        "document_version",
        "control_age_ms",
        "elapsed_ms",
    ),
    DecisionEvent.REQUEST_ENDED: (
        "request_id",
        "route",
        "account",
        "outcome",
        "status",
        "attempts",
        "server",
        "model",
        "confidence",
        "first_event_ms",
        "pace_ratio",
        "elapsed_ms",
        "document_version",
        "control_age_ms",
        "session",
        "server_version",
    ),
    DecisionEvent.ATTEMPT_FAILED: (
        "request_id",
        "server",
        "model",
        "attempt",
        "run_state",
        "reason",
        "status",
        "elapsed_ms",
        "in_flight",
        "announced_age_ms",
    ),
    DecisionEvent.SERVER_CHANGED: ("server", "service", "address", "state", "version", "reason"),
    DecisionEvent.SERVER_SUSPECTED: ("server", "reason", "hold_ms", "others_in_flight"),
    DecisionEvent.SERVER_LIMITED: ("server", "limit_per_s", "reason"),
    DecisionEvent.SERVER_BRITTLE: ("server", "max_rejections_per_s"),
    DecisionEvent.PATH_CHANGED: ("server", "path", "reason", "lost_paths", "isolated", "peers"),
    DecisionEvent.SERVER_CRASHED: (
        "server",
        "request_id",
        "fingerprint",
        "shared_parts",
        "events",
        "answer_age_ms",
        "suspects",
        "in_service",
    ),
    DecisionEvent.QUARANTINE_CHANGED: ("added", "removed", "reason"),
    DecisionEvent.DOCUMENT_IN_FORCE: ("document_version", "routes"),
    DecisionEvent.ROLLOUT_CHANGED: (
        "service",
        "target",
        "state",
        "share",
        "elapsed_s",
        "log_ratio",
        "target_streams",
        "base_streams",
        "pace_quotient",
        "reason",
    ),
    DecisionEvent.ORDER_DECIDED: ("order", "outcome", "detail", "elapsed_ms"),
    DecisionEvent.LEADER_CHANGED: ("leader", "term", "leads"),
    DecisionEvent.LINES_DROPPED: ("count", "events"),
}

# Events whose lines may be unimportant; the lines of all other events are always important.
_POSSIBLY_ORDINARY = frozenset({DecisionEvent.REQUEST_ENDED, DecisionEvent.ORDER_DECIDED})


class DecisionLog:
    """Writes the decisions of one process as JSON lines and counts them.

    Parameters
    ----------
    host
        Name of this host, part of each line.
    file_descriptor
        Descriptor of the open file that the lines are written to; 1 is standard output.

    Attributes
    ----------
    statistics
        Statistics of the process; they count every decision, also if its line is dropped.

    Notes
    -----
    Lines are dropped if more than the limit are recorded in a second, or if the reader of the
    output does not keep up. The next flush writes the number of dropped lines of each event; lines
    of batches that could not be queued are counted under ``unread``.
    """

    def __init__(self, host: str, file_descriptor: int = 1) -> None:
        self.statistics = Statistics()
        self._host = host
        self._file_descriptor = file_descriptor
        self._encoder = Encoder()
        self._lines: list[bytes] = []
        self._dropped: Counter[str] = Counter()
        # Lines accepted in the current second: ordinary ones at index 0, important ones at index 1.
        self._accepted_counts = [0, 0]
        # Second of the monotonic clock that the counts belong to.
        self._counted_second = 0
        self._batches: Queue[bytes] = Queue(MAX_QUEUED_BATCHES)
        Thread(target=self._write_batches, name="decision-log", daemon=True).start()

    def record(self, event: DecisionEvent, important: bool = True, **fields: Any) -> None:
        """Count a decision and queue its line, unless the limits require that it is dropped.

        Parameters
        ----------
        event
            What was decided.
        important
            Whether the line counts towards the limit of important lines, which ordinary ones
            cannot exhaust. It is ignored for events that are always important.
        fields
            Inputs and outcome of the decision; the names are those in ``EVENT_FIELDS``.
        """
        self.statistics.add(StatisticName.DECISIONS, event)
        if event not in _POSSIBLY_ORDINARY:
            important = True
        if not self._accepts_line(important):
            self._dropped[event] += 1
            return
        # The time is in milliseconds since the Unix epoch.
        line = {"time_ms": int(time.time() * 1000), "host": self._host, "event": event}
        line |= {name: _shorten(value) for name, value in fields.items()}
        try:
            self._lines.append(self._encoder.encode(line))
        except UnicodeEncodeError:
            # Header bytes that are not UTF-8 were decoded as surrogates.
            self._lines.append(self._encoder.encode(_escape_surrogates(line)))

    async def run(self) -> None:
        """Flush every ``FLUSH_INTERVAL_S`` until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Pass the queued lines to the writing thread as one batch, without blocking."""
        if self._dropped:
            dropped, self._dropped = self._dropped, Counter()
            fields = {"event": DecisionEvent.LINES_DROPPED, "count": dropped.total()}
            header = {"time_ms": int(time.time() * 1000), "host": self._host}
            self._lines.append(self._encoder.encode({**header, **fields, "events": dropped}))
        if not self._lines:
            return
        lines, self._lines = self._lines, []
        try:
            self._batches.put_nowait(b"\n".join(lines) + b"\n")
        except Full:
            self._dropped["unread"] += len(lines)

    def _accepts_line(self, important: bool) -> bool:
        """Return whether the limits allow one more line, and if so count it.

        Parameters
        ----------
        important
            Which of the two limits per second applies.
        """
        current_second = int(time.monotonic())
        if current_second != self._counted_second:
            self._counted_second = current_second
            self._accepted_counts = [0, 0]
        limit = MAX_IMPORTANT_PER_S if important else MAX_ORDINARY_PER_S
        if self._accepted_counts[important] >= limit or len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._accepted_counts[important] += 1
        return True

    def _write_batches(self) -> None:
        """Write queued batches for as long as the process lives; runs in a thread of its own."""
        while True:
            unwritten = memoryview(self._batches.get())
            while unwritten:
                try:
                    # A write to a pipe may be partial.
                    unwritten = unwritten[os.write(self._file_descriptor, unwritten) :]
                except OSError:
                    # The reader of the output has ended; the daemon must continue without it.
                    break


def _shorten(value: Any) -> Any:
    """Return the begin of a long text, and any other value as it is."""
    return value[:MAX_TEXT_LENGTH] if isinstance(value, str) else value


def _escape_surrogates(line: dict[str, Any]) -> dict[str, Any]:
    """Return a line whose texts have escape sequences in place of surrogates."""
    return {
        name: value.encode(errors="backslashreplace").decode() if isinstance(value, str) else value
        for name, value in line.items()
    }
