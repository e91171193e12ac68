"""Command that merges the timelines of all processes."""

from pathlib import Path
from typing import Annotated

import typer

from baobabstream.telemetry.merge import read_timelines

__all__ = ["timeline"]


def timeline(
    files: Annotated[list[Path], typer.Argument(help="Timeline files of the daemons.")],
    request_id: Annotated[str, typer.Option("--request", help="Only this request.")] = "",
) -> None:
    """Merge timeline files of several processes and print the events in order."""
    for event in read_timelines(files):
        if request_id and event.request_id != request_id:
            continue
        typer.echo(
            f"{event.time.wall_ms}.{event.time.counter:03d} {event.host:12} {event.role:8}"
            f" {event.kind.value:24} {event.request_id[:8]:8} r{event.revision} {event.detail}"
        )
