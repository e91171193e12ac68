"""Cuts a stream of server-sent events at event boundaries."""

__all__ = ["EVENT_END", "EventCutter"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventCutter:
    """Passes on whole events and remembers the identity of the last one.

    Notes
    -----
    A part of an event is kept back until the rest has come, so that a caller never has an event
    that is cut off, and another server can go on after the last whole one.
    """

    def __init__(self) -> None:
        self.last_event_id = ""
        self._rest = b""

    @property
    def pending(self) -> bool:
        """Whether part of an event is held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> bytes:
        """Take bytes as received and return the events that are now whole."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return b""
        whole, self._rest = data[: end + len(EVENT_END)], data[end + len(EVENT_END) :]
        self._note_identity(whole)
        return whole

    def _note_identity(self, events: bytes) -> None:
        start = events.rfind(b"\n" + ID_FIELD) + 1
        if start == 0 and not events.startswith(ID_FIELD):
            return
        line = events[start + len(ID_FIELD) : events.find(b"\n", start)]
        self.last_event_id = line.strip().decode("latin-1")
