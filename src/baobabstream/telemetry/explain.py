"""Says in words why one request was decided as it was, from the event timeline."""

from collections.abc import Iterable

from baobabstream.telemetry.timeline import EventKind, TimelineEvent

__all__ = ["explain_request", "request_events"]

_SENTENCES = {
    EventKind.REQUEST_RECEIVED: "received for client account and class",
    EventKind.REQUEST_REFUSED: "refused",
    EventKind.ATTEMPT_SENT: "sent to",
    EventKind.FIRST_TOKEN: "first token arrived",
    EventKind.ATTEMPT_FAILED: "the attempt failed",
    EventKind.ATTEMPT_CANCELLED: "the attempt was cancelled",
    EventKind.ANSWER_FINISHED: "the answer reached the caller whole",
    EventKind.ANSWER_RATED: "the answer was rated",
    EventKind.BILL_STORED: "billed",
    EventKind.CLAIM_CHANGED: "the claim became",
    EventKind.ENGINE_REQUEST_STARTED: "the backend server began to run it on",
    EventKind.ENGINE_REQUEST_FINISHED: "the backend server finished it on",
    EventKind.REQUEST_QUARANTINED: "quarantined",
}


def request_events(events: Iterable[TimelineEvent], request_id: str) -> list[TimelineEvent]:
    """Return the events of the request whose identity starts with ``request_id``."""
    return [event for event in events if event.request_id.startswith(request_id)]


def explain_request(events: list[TimelineEvent]) -> list[str]:
    """Return one line for each event of a request.

    Parameters
    ----------
    events
        Events of one request in the order of their hybrid times.

    Returns
    -------
    list[str]
        Milliseconds since the first event, host, and what was decided with its reason. The last
        line names the configuration revision that the entry decided under.
    """
    if not events:
        return []
    first_ms = events[0].time.wall_ms
    lines = [f"{event.time.wall_ms - first_ms:6d} ms  {_line(event)}" for event in events]
    revisions = sorted({event.revision for event in events if event.revision})
    if revisions:
        shown = ", ".join(str(revision) for revision in revisions)
        lines.append(f"decided under configuration revision {shown}")
    return lines


def _line(event: TimelineEvent) -> str:
    sentence = _SENTENCES.get(event.kind, event.kind.value.replace("_", " "))
    return f"{event.host:12} {sentence} {event.detail}".rstrip()
