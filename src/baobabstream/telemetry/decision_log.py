"""Structured lines on standard output, one for each decision, that never block the event loop."""

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

# A fifth of a second keeps lines together for one write and still shows a fault as it happens.
FLUSH_INTERVAL_S = 0.2
# Lines kept for one flush; about 300 bytes each, so 600 KB at most.
MAX_QUEUED_LINES = 2000
# Batches that wait for a reader that has stopped reading.
MAX_QUEUED_BATCHES = 8
# Lines of ordinary outcomes in one second; failures and refusals have a bound of their own, so
# that a load peak cannot hide them.
MAX_ORDINARY_PER_S = 40
MAX_IMPORTANT_PER_S = 200


class DecisionEvent(StrEnum):
    """What a line is about."""

    DAEMON_STARTED = "daemon_started"
    DAEMON_STOPPING = "daemon_stopping"
    SETTINGS_RELOADED = "settings_reloaded"
    DEPENDENCY_LOST = "dependency_lost"
    DEPENDENCY_REGAINED = "dependency_regained"
    REQUEST_REFUSED = "request_refused"
    REQUEST_ENDED = "request_ended"
    ATTEMPT_FAILED = "attempt_failed"
    SERVER_CHANGED = "server_changed"
    SERVER_SUSPECTED = "server_suspected"
    DOCUMENT_IN_FORCE = "document_in_force"
    ROLLOUT_CHANGED = "rollout_changed"
    ORDER_DECIDED = "order_decided"
    LEADER_CHANGED = "leader_changed"
    LINES_DROPPED = "lines_dropped"


EVENT_FIELDS: dict[DecisionEvent, tuple[str, ...]] = {
    DecisionEvent.DAEMON_STARTED: ("role", "version"),
    DecisionEvent.DAEMON_STOPPING: ("reason",),
    DecisionEvent.SETTINGS_RELOADED: ("outcome",),
    DecisionEvent.DEPENDENCY_LOST: ("dependency", "reason"),
    DecisionEvent.DEPENDENCY_REGAINED: ("dependency", "away_ms"),
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
    DecisionEvent.SERVER_SUSPECTED: ("server", "reason", "hold_ms"),
    DecisionEvent.DOCUMENT_IN_FORCE: ("document_version", "routes"),
    DecisionEvent.ROLLOUT_CHANGED: (
        "service",
        "target",
        "state",
        "share",
        "elapsed_s",
        "log_ratio",
        "reason",
    ),
    DecisionEvent.ORDER_DECIDED: ("order", "outcome", "detail", "elapsed_ms"),
    DecisionEvent.LEADER_CHANGED: ("leader", "term", "leads"),
    DecisionEvent.LINES_DROPPED: ("count", "events"),
}

_ORDINARY = frozenset({DecisionEvent.REQUEST_ENDED, DecisionEvent.ORDER_DECIDED})


class DecisionLog:
    """Writes decisions of one process as JSON lines.

    Parameters
    ----------
    host
        Name of this host, part of each line.
    file_number
        Open file that the lines are written to.

    Attributes
    ----------
    statistics
        Counts every decision, also those whose line is dropped.

    Notes
    -----
    Lines are dropped and counted when more come in a second than the bounds allow, or when the
    reader of the output does not keep up. The count of each event is written with the next flush.
    """

    def __init__(self, host: str, file_number: int = 1) -> None:
        self.statistics = Statistics()
        self._host = host
        self._file_number = file_number
        self._encoder = Encoder()
        self._lines: list[bytes] = []
        self._dropped: Counter[str] = Counter()
        self._spent = [0, 0]
        self._second = 0
        self._batches: Queue[bytes] = Queue(MAX_QUEUED_BATCHES)
        Thread(target=self._write_batches, name="decision-log", daemon=True).start()

    def record(self, event: DecisionEvent, important: bool = True, **fields: Any) -> None:
        """Queue a line; fields are those of ``EVENT_FIELDS``.

        Parameters
        ----------
        event
            What was decided.
        important
            Whether the line is kept at a load peak that drops lines of ordinary outcomes.
        fields
            Inputs and outcome of the decision.
        """
        self.statistics.add(StatisticName.DECISIONS, event)
        if event not in _ORDINARY:
            important = True
        if not self._within_bounds(important):
            self._dropped[event] += 1
            return
        line = {"time_ms": int(time.time() * 1000), "host": self._host, "event": event, **fields}
        self._lines.append(self._encoder.encode(line))

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self.flush()

    def flush(self) -> None:
        """Hand the queued lines to the writing thread."""
        if self._dropped:
            dropped, self._dropped = self._dropped, Counter()
            fields = {"event": DecisionEvent.LINES_DROPPED, "count": dropped.total()}
            head = {"time_ms": int(time.time() * 1000), "host": self._host}
            self._lines.append(self._encoder.encode({**head, **fields, "events": dropped}))
        if not self._lines:
            return
        lines, self._lines = self._lines, []
        try:
            self._batches.put_nowait(b"\n".join(lines) + b"\n")
        except Full:
            self._dropped["unread"] += len(lines)

    def _within_bounds(self, important: bool) -> bool:
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._spent = [0, 0]
        limit = MAX_IMPORTANT_PER_S if important else MAX_ORDINARY_PER_S
        if self._spent[important] >= limit or len(self._lines) >= MAX_QUEUED_LINES:
            return False
        self._spent[important] += 1
        return True

    def _write_batches(self) -> None:
        while True:
            data = memoryview(self._batches.get())
            while data:
                try:
                    data = data[os.write(self._file_number, data) :]
                except OSError:
                    # The reader is gone; a process must outlive whoever collects its output.
                    break
