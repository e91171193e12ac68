"""Commands on the event timelines of all processes.

Each process writes the *events* of what it did, such as a request that it sent, to a timeline file.
Events are ordered by *hybrid times*, wall times corrected so that no event is earlier than its
cause on another host. An event may name the request that it belongs to and the *revision*, the
number of the last change of the configuration, that applied. The *role* is that of the process,
such as ``entry`` for a daemon that accepts the requests of callers. The docstring of each command
is its help text.
"""

from pathlib import Path
from typing import Annotated

import typer
from msgspec import to_builtins

from baobabstream.cli.output import print_document
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.telemetry.explain import explain_request, filter_by_request
from baobabstream.telemetry.request_page import render_request_page
from baobabstream.telemetry.timeline import EventKind, TimelineEvent
from baobabstream.telemetry.timeline_reader import read_timelines

__all__ = ["explain", "timeline"]

Files = Annotated[list[Path], typer.Argument(help="Timeline files of the daemons.")]


def timeline(
    files: Files,
    request_id: Annotated[str, typer.Option("--request", help="Only this request.")] = "",
    host: Annotated[str, typer.Option(help="Only this host.")] = "",
    kind: Annotated[EventKind | None, typer.Option(help="Only this kind.")] = None,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
    picture: Annotated[Path | None, typer.Option(help="Write an HTML picture here.")] = None,
) -> None:
    """Merge timeline files of several processes and print the events in order."""
    events = [
        event
        # An empty host or a missing kind selects all events.
        for event in filter_by_request(read_timelines(files), request_id)
        if host in ("", event.host) and kind in (None, event.kind)
    ]
    if picture is not None:
        picture.write_text(render_request_page(request_id, events), encoding="utf-8")
        typer.echo(f"wrote {picture}", err=True)
    if as_json:
        # True: print JSON.
        print_document([to_builtins(event) for event in events], True)
        return
    for event in events:
        typer.echo(_format_event(event))


def explain(
    request_id: Annotated[str, typer.Argument(help="Identity of the request, or its start.")],
    files: Files,
    as_json: Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Explain the decisions about one request."""
    events = filter_by_request(read_timelines(files), request_id)
    if not events:
        raise RequestRefused(ResultCode.NOT_FOUND, f"no events of request {request_id}")
    lines = explain_request(events)
    if as_json:
        # True: print JSON.
        print_document({"request_id": events[0].request_id, "lines": lines}, True)
        return
    for line in lines:
        typer.echo(line)


def _format_event(event: TimelineEvent) -> str:
    """Return an event as a line of text.

    It has the hybrid time (milliseconds and counter), host, role, kind, the first 8 characters of
    the request's identifier, revision and detail, padded so that columns align.
    """
    return (
        f"{event.time.wall_ms}.{event.time.counter:03d} {event.host:12} {event.role:8}"
        f" {event.kind.value:24} {event.request_id[:8]:8} r{event.revision} {event.detail}"
    )
