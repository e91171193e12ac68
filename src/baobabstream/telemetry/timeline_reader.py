"""Reads the event timelines of several processes and merges them.

Each process writes its events to a file of its own, as JSON lines. An event's hybrid time is a wall
time corrected so that no event is earlier than its cause on another host.
"""

from collections.abc import Iterable
from pathlib import Path

from msgspec import DecodeError
from msgspec.json import Decoder

from baobabstream.telemetry.timeline import TimelineEvent

__all__ = ["read_timelines"]


def read_timelines(paths: Iterable[Path]) -> list[TimelineEvent]:
    """Return all events of the files in the order of their hybrid times.

    A line that cannot be decoded is skipped; the last one of a killed process may be incomplete.
    """
    decoder = Decoder(TimelineEvent)
    events = []
    for path in paths:
        for line in path.read_bytes().splitlines():
            try:
                events.append(decoder.decode(line))
            except DecodeError:
                continue
    return sorted(events, key=lambda event: event.time)
