"""Renders the timeline events of one request as an HTML page with an SVG diagram.

The *timeline* is the record of what all processes did: *events*, each with its host and its *hybrid
time*, a wall time corrected so that no event is earlier than its cause on another host.

The diagram has one horizontal line, a *lane*, for each host. Each event is a *mark*, a dot on the
lane of its host with a label above it; its x coordinate is its time since the first event. The
template ``request.html.j2`` reads the attributes of the two classes and the keyword arguments of
``render`` by name. Lengths are in pixels; y grows downwards.
"""

from dataclasses import dataclass

from jinja2 import Environment, PackageLoader

from baobabstream.telemetry.timeline import TimelineEvent

__all__ = ["render_request_page"]

# Space to the left of the lanes, for the names of the hosts.
LEFT_MARGIN_PX = 140
# Length of a lane, which stands for the time from the first event to the last.
LANE_WIDTH_PX = 900
# Space to the right of the lanes, for the labels of the last events.
RIGHT_MARGIN_PX = 260
# Distance between two lanes.
LANE_SPACING_PX = 90
# Vertical distance between two heights of labels; a label's text is 11 px high.
LABEL_SPACING_PX = 14
# Labels of successive events cycle through this number of heights above the lane, so that those of
# events close in time do not overlap.
LABEL_LEVEL_COUNT = 4


@dataclass(frozen=True, slots=True)
class _Mark:
    """Dot and label of an event.

    Attributes
    ----------
    x, y
        Position of the dot in pixels.
    label_y
        Vertical position of the label in pixels.
    offset_ms
        Time since the first event in milliseconds.
    text
        Label: kind and detail of the event.
    """

    x: float
    y: float
    label_y: float
    offset_ms: int
    text: str


@dataclass(frozen=True, slots=True)
class _Lane:
    """Horizontal line for the events of a host; ``y`` is its position in pixels."""

    host: str
    y: int


def render_request_page(request_id: str, events: list[TimelineEvent]) -> str:
    """Return an HTML page with one lane for each host and one mark for each event.

    Parameters
    ----------
    request_id
        Identifier of the request, shown as the title.
    events
        Events of the request in the order of their hybrid times. The x coordinate of an event is
        given by the milliseconds of its hybrid time.
    """
    hosts = list(dict.fromkeys(event.host for event in events))
    lanes = [_Lane(host, (index + 1) * LANE_SPACING_PX) for index, host in enumerate(hosts)]
    lane_y_by_host = {lane.host: lane.y for lane in lanes}
    first_ms = events[0].time.wall_ms if events else 0
    # At least 1 ms, because positions are divided by it.
    span_ms = max(1, events[-1].time.wall_ms - first_ms) if events else 1
    marks = [
        _place_mark(event, lane_y_by_host[event.host], index, first_ms, span_ms)
        for index, event in enumerate(events)
    ]
    environment = Environment(
        loader=PackageLoader("baobabstream.telemetry"), autoescape=True, trim_blocks=True
    )
    return environment.get_template("request.html.j2").render(
        request_id=request_id,
        lanes=lanes,
        marks=marks,
        span_ms=span_ms,
        left=LEFT_MARGIN_PX,
        right=LEFT_MARGIN_PX + LANE_WIDTH_PX,
        width=LEFT_MARGIN_PX + LANE_WIDTH_PX + RIGHT_MARGIN_PX,
        height=(len(lanes) + 1) * LANE_SPACING_PX,
    )


def _place_mark(event: TimelineEvent, y: int, index: int, first_ms: int, span_ms: int) -> _Mark:
    """Return the mark of an event.

    Parameters
    ----------
    event
        Event to be drawn.
    y
        Vertical position in pixels of the lane of the event's host.
    index
        Position of the event in the page, from 0; it selects the height of the label.
    first_ms
        Wall time of the first event in milliseconds since the Unix epoch.
    span_ms
        Time from the first event to the last in milliseconds, at least 1.
    """
    offset_ms = event.time.wall_ms - first_ms
    x = LEFT_MARGIN_PX + LANE_WIDTH_PX * offset_ms / span_ms
    # Height of the label, from 1 next to the lane.
    level = 1 + index % LABEL_LEVEL_COUNT
    text = f"{event.kind.value} {event.detail}".strip()
    return _Mark(x, y, y - LABEL_SPACING_PX * level, offset_ms, text)
