"""Applies the leader's replies to an entry's view of the cluster."""

from msgspec.structs import replace

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import PollReply
from baobabstream.wire.rows import BackendRecord, RowEntry

__all__ = ["ViewUpdater"]


class ViewUpdater:
    """Position of a view in the leader's configuration and registry.

    Parameters
    ----------
    view
        View that is updated.

    Notes
    -----
    The registry of a new leader is empty at first. Until it is warm, the backend servers known
    from the previous leader are kept, except those that the log records as departed.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self.term = 0
        self.epoch = 0
        self.registry_version = 0
        self._kept: set[str] = set()

    def apply(self, reply: PollReply) -> bool:
        """Apply a reply and return whether the view changed.

        Raises
        ------
        PeerError
            ``NO_LEADER`` if the reply is of an earlier leader or of one that is behind this view.
        """
        if reply.term < self.term or reply.revision < self._view.revision:
            detail = f"term {reply.term} at revision {reply.revision} is behind this entry"
            raise PeerError(ResultCode.NO_LEADER, detail)
        # An earlier reply of this leader that overlapped with a later one.
        overtaken = reply.epoch == self.epoch and reply.registry_version < self.registry_version
        changed = self._apply_rows(reply)
        if not overtaken:
            changed = self._apply_registry(reply) or changed
        self.term = reply.term
        return changed

    def _apply_rows(self, reply: PollReply) -> bool:
        rows = reply.rows
        if reply.rows_complete:
            listed = {entry.key for entry in rows}
            missing = [key for key in self._view.rows if key not in listed]
            rows += tuple(RowEntry(key, reply.revision, None) for key in missing)
        self._view.apply_rows(reply.revision, rows)
        return bool(rows)

    def _apply_registry(self, reply: PollReply) -> bool:
        changed = tuple(record for record in reply.backends if self._current(record, reply))
        gone = set(reply.backends_gone)
        names = {record.identity for record in changed}
        if reply.registry_complete:
            gone |= self._unlisted(reply, names)
        self._kept -= names | gone
        if reply.registry_warm:
            gone |= self._kept
            self._kept = set()
        changed += tuple(self._loaded(reply))
        self._view.apply_backends(changed, gone, False)
        self.epoch = reply.epoch
        self.registry_version = reply.registry_version
        return bool(changed or gone)

    def _current(self, record: BackendRecord, reply: PollReply) -> bool:
        """Return False for a delayed announcement of an incarnation before the one known."""
        known = self._view.backends.get(record.identity)
        kept = record.identity in self._kept or reply.epoch != self.epoch
        return known is None or not kept or record.incarnation >= known.incarnation

    def _unlisted(self, reply: PollReply, listed: set[str]) -> set[str]:
        unlisted = set(self._view.backends) - listed
        if reply.registry_warm:
            return unlisted
        if reply.epoch != self.epoch:
            self._kept = set(unlisted)
        departed = {
            name
            for name, lowest in reply.departed.items()
            if name in unlisted and self._view.backends[name].incarnation < lowest
        }
        return (unlisted - self._kept) | departed

    def _loaded(self, reply: PollReply) -> list[BackendRecord]:
        known = self._view.backends
        return [
            replace(
                known[load.identity], in_flight=load.in_flight, queued_tokens=load.queued_tokens
            )
            for load in reply.loads
            if load.identity in known
        ]
