"""Explains the decisions about one request from its events in the timeline.

The timeline is the list of events of all processes in the order of their hybrid times: wall times
corrected so that no event is earlier than its cause on another host. An *attempt* is one send of a
request to a backend server, a *claim* reserves the execution of a request that is not idempotent,
so that it is not executed twice, and a *quarantined* request has crashed backend servers and is not
executed again. A *bill* is the record of one answered request in the billing ledger. A
*class* of work defines the targets of the requests that name it. The
*configuration revision* is the number of the last change of the configuration.
"""

from collections.abc import Iterable

from baobabstream.telemetry.timeline import EventKind, TimelineEvent

__all__ = ["explain_request", "filter_by_request"]

# Phrase for each kind of event that concerns a request; the detail of the event follows it.
_EVENT_PHRASES = {
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


def filter_by_request(events: Iterable[TimelineEvent], request_id: str) -> list[TimelineEvent]:
    """Return the events of all requests whose identifier starts with ``request_id``."""
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
        line names the configuration revisions that the decisions were based on, if any.
    """
    if not events:
        return []
    first_ms = events[0].time.wall_ms
    # Padded to 6 digits, which aligns the lines of requests shorter than 1000 seconds.
    lines = [f"{event.time.wall_ms - first_ms:6d} ms  {_format_event(event)}" for event in events]
    revisions = sorted({event.revision for event in events if event.revision})
    if revisions:
        revision_list = ", ".join(str(revision) for revision in revisions)
        lines.append(f"decided under configuration revision {revision_list}")
    return lines


def _format_event(event: TimelineEvent) -> str:
    """Return host, phrase and detail of an event; the host is padded to 12 columns."""
    phrase = _EVENT_PHRASES.get(event.kind, event.kind.value.replace("_", " "))
    return f"{event.host:12} {phrase} {event.detail}".rstrip()
