"""Draws the events of one request as an HTML page with an SVG picture."""

from dataclasses import dataclass

from jinja2 import Environment, PackageLoader

from baobabstream.telemetry.timeline import TimelineEvent

__all__ = ["request_picture"]

LEFT_PX = 140
WIDTH_PX = 900
LANE_PX = 90
LABEL_STEP_PX = 14
LABEL_LEVELS = 4


@dataclass(frozen=True, slots=True)
class _Mark:
    x: float
    y: float
    label_y: float
    offset_ms: int
    text: str


@dataclass(frozen=True, slots=True)
class _Lane:
    host: str
    y: int


def request_picture(request_id: str, events: list[TimelineEvent]) -> str:
    """Return an HTML page with one lane for each host and one mark for each event.

    Parameters
    ----------
    request_id
        Identity of the request, shown as the title.
    events
        Events of the request in the order of their hybrid times.
    """
    hosts = list(dict.fromkeys(event.host for event in events))
    lanes = [_Lane(host, (number + 1) * LANE_PX) for number, host in enumerate(hosts)]
    rows = {lane.host: lane.y for lane in lanes}
    first_ms = events[0].time.wall_ms if events else 0
    span_ms = max(1, events[-1].time.wall_ms - first_ms) if events else 1
    marks = [
        _mark(event, rows[event.host], number, first_ms, span_ms)
        for number, event in enumerate(events)
    ]
    environment = Environment(
        loader=PackageLoader("baobabstream.telemetry"), autoescape=True, trim_blocks=True
    )
    return environment.get_template("request.html.j2").render(
        request_id=request_id,
        lanes=lanes,
        marks=marks,
        span_ms=span_ms,
        left=LEFT_PX,
        width=LEFT_PX + WIDTH_PX + LEFT_PX,
        height=(len(lanes) + 1) * LANE_PX,
    )


def _mark(event: TimelineEvent, y: int, number: int, first_ms: int, span_ms: int) -> _Mark:
    offset_ms = event.time.wall_ms - first_ms
    x = LEFT_PX + WIDTH_PX * offset_ms / span_ms
    level = 1 + number % LABEL_LEVELS
    text = f"{event.kind.value} {event.detail}".strip()
    return _Mark(x, y, y - LABEL_STEP_PX * level, offset_ms, text)
