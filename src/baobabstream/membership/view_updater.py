"""Applies the leader's replies to an entry's view of the cluster.

An entry is a host that accepts requests of clients; it polls the leader of the control hosts. Its
view consists of two parts. The rows of the configuration are replicated by the control hosts; their
revision is a number that rises with each change. The backend servers come from the registry, which
each leader builds anew from their announcements.

A term is the time from one election of a leader to the next; terms are numbered. The epoch
identifies one instance of the registry, and its version rises with each change. A complete reply
lists everything, while another lists the changes since the poll's revision or version.

The record of a backend server is its last announcement, with its load: the requests in flight and
the queued tokens. Each start of the server is a new incarnation with a higher number; the identity
stays. The control hosts record which servers have departed.
"""

from msgspec.structs import replace

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import PollReply
from baobabstream.wire.rows import BackendRecord, RowEntry

__all__ = ["ViewUpdater"]


class ViewUpdater:
    """Applies replies to a view, and tracks which changes of the registry it includes.

    Parameters
    ----------
    view
        View that is updated in place.

    Attributes
    ----------
    term
        Term of the leader whose reply was applied last, or 0 before the first.
    epoch, registry_version
        Instance of the registry, and its version that the view includes; 0 before the first.

    Notes
    -----
    The registry of a new leader is empty at first. Until it is warm, which means that all backend
    servers had time to announce themselves, the backend servers known from the previous leader are
    retained, except those that the control hosts have recorded as departed.
    """

    def __init__(self, view: ClusterView) -> None:
        self._view = view
        self.term = 0
        self.epoch = 0
        self.registry_version = 0
        # Identities of the backend servers that are known only from a previous leader.
        self._retained: set[str] = set()

    def apply(self, reply: PollReply) -> bool:
        """Apply a reply and return whether it held changes of the view.

        The reply includes all changes up to its ``revision`` of the configuration and up to the
        ``registry_version`` of the registry that ``epoch`` identifies.
        Changes of the registry that are older than those in the view are ignored.

        Raises
        ------
        PeerError
            ``NO_LEADER`` if the reply is of an earlier leader, or of a host whose configuration is
            older than this view.
        """
        if reply.term < self.term or reply.revision < self._view.revision:
            detail = f"term {reply.term} at revision {reply.revision} is behind this entry"
            raise PeerError(ResultCode.NO_LEADER, detail)
        # Replies to concurrent polls may arrive in another order than they were sent.
        is_registry_outdated = (
            reply.epoch == self.epoch and reply.registry_version < self.registry_version
        )
        is_changed = self._apply_rows(reply)
        if not is_registry_outdated:
            is_changed = self._apply_registry(reply) or is_changed
        self.term = reply.term
        return is_changed

    def _apply_rows(self, reply: PollReply) -> bool:
        """Apply the configuration rows and return whether there were any.

        Each row has a key. A complete reply removes the rows that it does not list.
        """
        row_entries = reply.rows
        if reply.rows_complete:
            listed_keys = {row_entry.key for row_entry in row_entries}
            removed_keys = [key for key in self._view.rows if key not in listed_keys]
            # A ``RowEntry`` whose row is None removes the row of its key.
            row_entries += tuple(RowEntry(key, reply.revision, None) for key in removed_keys)
        self._view.apply_rows(reply.revision, row_entries)
        return bool(row_entries)

    def _apply_registry(self, reply: PollReply) -> bool:
        """Apply changed and removed backend servers and their load; returns whether any changed.

        ``backends`` of the reply are the changed records, ``backends_gone`` the identities of the
        removed servers.
        Retained servers are removed, unless listed, as soon as the registry is warm.
        """
        changed_records = tuple(
            record for record in reply.backends if self._is_current(record, reply)
        )
        gone_identities = set(reply.backends_gone)
        changed_identities = {record.identity for record in changed_records}
        if reply.registry_complete:
            gone_identities |= self._unlisted_identities(reply, changed_identities)
        self._retained -= changed_identities | gone_identities
        if reply.registry_warm:
            gone_identities |= self._retained
            self._retained = set()
        changed_records += tuple(self._updated_loads(reply))
        # False: ``changed_records`` need not hold all servers, so the others stay.
        self._view.apply_backends(changed_records, gone_identities, False)
        self.epoch = reply.epoch
        self.registry_version = reply.registry_version
        return bool(changed_records or gone_identities)

    def _is_current(self, record: BackendRecord, reply: PollReply) -> bool:
        """Return whether a record is to be applied, since it is not of an earlier incarnation.

        It is compared with the known record only if that one comes from another instance of the
        registry: a new leader may receive a delayed announcement of an earlier incarnation first.
        Within one instance of the registry, each reply is newer than the known record.
        """
        known_record = self._view.backends.get(record.identity)
        is_from_other_epoch = record.identity in self._retained or reply.epoch != self.epoch
        return (
            known_record is None
            or not is_from_other_epoch
            or record.incarnation >= known_record.incarnation
        )

    def _unlisted_identities(self, reply: PollReply, listed_identities: set[str]) -> set[str]:
        """Return the identities of the servers that a complete registry removes from the view.

        While the registry is not warm, the unlisted servers of a previous leader are retained
        unless they have departed.

        Parameters
        ----------
        reply
            Reply that lists the complete registry; its ``departed`` holds the lowest incarnation
            that has not left, by identity.
        listed_identities
            Servers in the reply whose records are current.
        """
        unlisted = set(self._view.backends) - listed_identities
        if reply.registry_warm:
            return unlisted
        if reply.epoch != self.epoch:
            self._retained = set(unlisted)
        departed = {
            identity
            for identity, lowest_present_incarnation in reply.departed.items()
            if identity in unlisted
            and self._view.backends[identity].incarnation < lowest_present_incarnation
        }
        return (unlisted - self._retained) | departed

    def _updated_loads(self, reply: PollReply) -> list[BackendRecord]:
        """Return the known records of the servers whose load the reply reports, with that load.

        Loads are sent without the rest of the record, since they change often.
        """
        known_records = self._view.backends
        return [
            replace(
                known_records[load.identity],
                in_flight=load.in_flight,
                queued_tokens=load.queued_tokens,
            )
            for load in reply.loads
            if load.identity in known_records
        ]
