"""Merges the timelines of several processes."""

from collections.abc import Iterable
from pathlib import Path

from msgspec import DecodeError
from msgspec.json import Decoder

from baobabstream.telemetry.timeline import TimelineEvent

__all__ = ["read_timelines"]


def read_timelines(paths: Iterable[Path]) -> list[TimelineEvent]:
    """Return all events of the files in the order of their hybrid times.

    A line that cannot be decoded, such as the last one of a killed process, is skipped.
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
