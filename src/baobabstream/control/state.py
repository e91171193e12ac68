"""Configuration state of the control hosts, built by applying the replicated log.

All configuration is stored as rows (client accounts, classes, versions, rollouts, routes,
quarantined fingerprints). Every command that changes rows raises the revision by one, and
each row carries the revision of its last change, so that an entry host can ask for the rows
that changed after the revision it has applied. A deleted row remains as a tombstone, a row
entry whose ``row`` is None, so that the deletion is part of that difference. Applying a command
reads no clock and does no I/O, so all control hosts reach the same state.

An entry host receives the callers' requests. A claim on a non-idempotent request lets one process
of an entry host run it; the incarnation numbers the successive processes of a host or backend
server. A fingerprint identifies requests with equal content. If such a request ran on a backend
server when that failed, this is a loss, and the fingerprint is a suspect. It then runs only in a
trial, alone among suspects on one backend server; after repeated losses it is quarantined and does
not run. A rollout replaces one model version by another, whose share of the traffic rises in steps.

The base revision of an operator command is the operator revision (the revision after the last
accepted operator command) that the operator had read. A change of rows must name it; in the other
operator commands it may be None, and the command is then applied at any operator revision. An
operator command carries a change identity, by which a resend is recognised. The other commands come
from the leader of the control hosts.
"""

from collections.abc import Callable, Mapping
from typing import Any

from msgspec import Struct, field, msgpack
from msgspec.structs import replace
from result import Err

from baobabstream.control.accepted_changes import AcceptedChanges
from baobabstream.control.claims import ClaimTable
from baobabstream.control.commands import (
    AdvanceRollout,
    BackendLeft,
    Command,
    ConfigChange,
    ControlRollout,
    ControlVersion,
    EndTrial,
    EntryGone,
    LeaderStarted,
    OperatorCommand,
    RecordLoss,
    ReleaseFingerprint,
    SetVersionState,
    StartTrial,
    UpdateClaim,
    VersionAction,
)
from baobabstream.control.losses import LossTable
from baobabstream.control.outcome import Outcome
from baobabstream.control.rollout_changes import (
    advance_rollout,
    apply_rollout_action,
    rollouts_after_stop,
    rows_to_store,
)
from baobabstream.control.trials import TrialTable
from baobabstream.control.validation import validate_change
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import TrialReply
from baobabstream.wire.rows import (
    ConfigRow,
    QuarantineRow,
    RolloutRow,
    RowEntry,
    VersionRow,
    VersionState,
    row_key,
)

__all__ = ["ConfigState"]

# Deleted rows that are kept, so that entry hosts receive the deletions. An entry host that has
# not applied an older deletion receives all rows.
MAX_TOMBSTONES = 1000
# Number of backend servers whose departure is kept. Older departures are not needed, since an
# announcement that arrives after its server left is delayed by seconds at most.
MAX_DEPARTED_BACKEND_SERVERS = 4096

# State of a version after each action of an operator.
_STATE_AFTER_ACTION = {
    VersionAction.ACTIVATE: VersionState.ACTIVE,
    VersionAction.STOP: VersionState.STOPPED,
    VersionAction.WITHDRAW: VersionState.WITHDRAWN,
}


class ConfigState(Struct):
    """Configuration rows, accepted operator commands, claims, losses, trials and departures.

    Attributes
    ----------
    revision
        Rises by one with each command that changes rows.
    operator_revision
        Revision after the last accepted operator command.
    pruned_revision
        Highest revision of a tombstone that has been removed. The deletions after this revision
        are all known.
    rows
        Rows and tombstones by key, ordered by the revision of their last change.
    accepted
        Operator commands that have been accepted.
    claims
        Claims on non-idempotent requests.
    losses
        Losses of backend servers by the fingerprint of the requests that they ran.
    trials
        Trials of suspect fingerprints.
    departed
        For each backend server that left, the lowest incarnation that has not left. The
        incarnation rises with each restart of a server.
    """

    revision: int = 0
    operator_revision: int = 0
    pruned_revision: int = 0
    rows: dict[str, RowEntry] = field(default_factory=dict)
    accepted: AcceptedChanges = field(default_factory=AcceptedChanges)
    claims: ClaimTable = field(default_factory=ClaimTable)
    losses: LossTable = field(default_factory=LossTable)
    trials: TrialTable = field(default_factory=TrialTable)
    departed: dict[str, int] = field(default_factory=dict)

    def apply(self, command: Command) -> Outcome:
        """Apply a committed command; the same commands in the same order give the same state.

        ``LeaderStarted``, the first command of a new leader, changes nothing here; committing it
        also commits the commands of earlier leaders.
        """
        match command:
            case ConfigChange():
                return self._apply_once(command, self._apply_change)
            case ControlVersion():
                return self._apply_once(command, self._apply_version_action)
            case ControlRollout():
                return self._apply_once(command, self._apply_rollout_action)
            case ReleaseFingerprint():
                return self._apply_once(command, self._release_fingerprint)
            case SetVersionState():
                return self._set_version_state(
                    command.model, command.version, command.state, command
                )
            case AdvanceRollout():
                return self._advance_rollout(command)
            case UpdateClaim():
                reply = self.claims.apply(command.request, command.wall_time_ms)
                return replace(self._make_outcome(ResultCode(reply.code)), claim=reply)
            case EntryGone():
                self.claims.mark_open_claims_unknown(command.host, command.incarnation)
            case RecordLoss():
                return self._record_loss(command)
            case StartTrial():
                return self._start_trial(command)
            case EndTrial():
                self._end_trial(command)
            case BackendLeft():
                self._record_departure(command)
            case LeaderStarted():
                pass
        return self._make_outcome(ResultCode.OK)

    def snapshot(self) -> bytes:
        """Return the whole state as msgpack."""
        return msgpack.encode(self)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by a snapshot, without replacing this object."""
        decoded = msgpack.decode(data, type=ConfigState)
        for name in self.__struct_fields__:
            setattr(self, name, getattr(decoded, name))

    def rows_after(self, revision: int) -> tuple[RowEntry, ...]:
        """Return the rows, deleted ones included, that changed after a revision.

        An entry host that has applied this revision reaches the present configuration with them. If
        a deletion after that revision is no longer known, return all present rows instead.
        """
        if revision == self.revision:
            return ()
        if self.rows_complete(revision):
            return tuple(row_entry for row_entry in self.rows.values() if row_entry.row is not None)
        return tuple(row_entry for row_entry in self.rows.values() if row_entry.revision > revision)

    def rows_complete(self, revision: int) -> bool:
        """Return whether ``rows_after`` gives all rows instead of only the changed ones.

        It does so if a tombstone of a later revision than the given one has been removed.
        """
        return revision < self.pruned_revision

    def row(self, key: str) -> ConfigRow | None:
        """Return the row with a key, or None if there is none or it has been deleted."""
        row_entry = self.rows.get(key)
        return row_entry.row if row_entry is not None else None

    def rollouts(self) -> list[RolloutRow]:
        """Return the rows of all rollouts, finished ones included."""
        rows = (row_entry.row for row_entry in self.rows.values())
        return [row for row in rows if isinstance(row, RolloutRow)]

    def _apply_once(
        self, command: OperatorCommand, apply_command: Callable[[Any], Outcome]
    ) -> Outcome:
        """Apply an operator command unless it was accepted before or its base revision is outdated.

        A command that was accepted before returns the outcome of the first time. Another command
        with the same change identity is refused with ``CHANGE_ID_REUSED``.

        Parameters
        ----------
        command
            Operator command with its change identity and base revision. A base revision of None
            means that the operator named none; it is then not compared.
        apply_command
            Applies the command to the rows.
        """
        first_outcome = self.accepted.find(command)
        if first_outcome is not None:
            return first_outcome
        if command.base_revision not in (None, self.operator_revision):
            detail = f"the operator revision is {self.operator_revision}"
            return self._make_outcome(ResultCode.REVISION_CONFLICT, detail)
        outcome = apply_command(command)
        if outcome.code is not ResultCode.OK:
            return outcome
        self.operator_revision = self.revision
        outcome = self._make_outcome(ResultCode.OK)
        self.accepted.add(command, outcome)
        return outcome

    def _apply_change(self, command: ConfigChange) -> Outcome:
        """Put and delete the rows of a valid change.

        Deleting the row of a suspect or quarantined fingerprint also deletes its losses, so that it
        runs normally again.
        """
        validity = validate_change(self.rows, command)
        if isinstance(validity, Err):
            return self._make_outcome(ResultCode.CHANGE_INVALID, validity.err_value)
        # The value None deletes the row of a key.
        changed_rows: dict[str, ConfigRow | None] = dict.fromkeys(command.delete)
        self._store_rows(changed_rows | rows_to_store(command.put, self._present_rows()))
        # A key of another kind of row is no fingerprint, so it has no losses to delete.
        for key in command.delete:
            self.losses.release(key.removeprefix("quarantine/"))
        return self._make_outcome(ResultCode.OK)

    def _apply_version_action(self, command: ControlVersion) -> Outcome:
        """Set the state that an operator's action gives a version."""
        new_state = _STATE_AFTER_ACTION[command.action]
        return self._set_version_state(command.model, command.version, new_state, command)

    def _set_version_state(
        self,
        model: str,
        version: str,
        new_state: VersionState,
        command: ControlVersion | SetVersionState,
    ) -> Outcome:
        """Set the state of a version and adjust its rollouts; a withdrawal is final.

        ``command`` gives the reason that is stored in the row. Nothing changes if the version is in
        that state already.
        """
        row = self.row(f"version/{model}@{version}")
        if not isinstance(row, VersionRow):
            return self._make_outcome(ResultCode.NOT_FOUND, f"version {model}@{version}")
        if row.state is VersionState.WITHDRAWN and new_state is not VersionState.WITHDRAWN:
            return self._make_outcome(
                ResultCode.CHANGE_INVALID, "the version is withdrawn for good"
            )
        changed_row = replace(row, state=new_state, reason=command.reason)
        if row.state is not new_state:
            self._store_rows(
                {row_key(row): changed_row} | rollouts_after_stop(self._present_rows(), changed_row)
            )
        return self._make_outcome(ResultCode.OK)

    def _apply_rollout_action(self, command: ControlRollout) -> Outcome:
        """Pause, resume or withdraw a rollout; a withdrawal returns all traffic to the old version.

        The command is refused if the state of the rollout does not allow the action.
        """
        row = self.row(f"rollout/{command.name}")
        if not isinstance(row, RolloutRow):
            return self._make_outcome(ResultCode.NOT_FOUND, f"rollout {command.name}")
        changed_row = apply_rollout_action(row, command)
        if changed_row is None:
            return self._make_outcome(
                ResultCode.CHANGE_INVALID, f"the rollout is {row.state.value}"
            )
        if changed_row != row:
            self._store_rows({row_key(row): changed_row})
        return self._make_outcome(ResultCode.OK)

    def _advance_rollout(self, command: AdvanceRollout) -> Outcome:
        """Store the leader's new progress of a rollout unless it is outdated or not allowed.

        It is outdated if the rollout has left the state and step that the command was based on.
        ``target_version`` is the row of the version that replaces the old one.
        """
        row = self.row(f"rollout/{command.name}")
        if not isinstance(row, RolloutRow):
            return self._make_outcome(ResultCode.NOT_FOUND)
        target_version = self.row(f"version/{row.model}@{row.to_version}")
        target_is_active = (
            isinstance(target_version, VersionRow) and target_version.state is VersionState.ACTIVE
        )
        changed_row = advance_rollout(row, command, target_is_active)
        if changed_row is None:
            detail = f"the rollout is {row.state.value} at step {row.step}"
            return self._make_outcome(ResultCode.REVISION_CONFLICT, detail)
        if changed_row != row:
            self._store_rows({row_key(row): changed_row})
        return self._make_outcome(ResultCode.OK)

    def _record_loss(self, command: RecordLoss) -> Outcome:
        """Count the loss of a backend server against the fingerprints of the requests it ran.

        The rows of fingerprints with a new loss are stored, and those of fingerprints that the full
        table of losses drops are deleted. The command's fingerprints lose their trials on that
        server. The outcome lists those of them that are quarantined.
        """
        quarantine_rows = self.losses.record(command)
        changed_rows: dict[str, ConfigRow | None] = {row_key(row): row for row in quarantine_rows}
        # The value None deletes the row of a key.
        changed_rows |= dict.fromkeys(
            f"quarantine/{dropped_fingerprint}"
            for dropped_fingerprint in self.losses.drop_oldest_excess()
        )
        if changed_rows:
            self._store_rows(changed_rows)
        for fingerprint in command.fingerprints:
            self.trials.drop_trial_after_loss(fingerprint, command.backend_server)
        quarantined_fingerprints = tuple(
            fingerprint
            for fingerprint in command.fingerprints
            if self.losses.is_quarantined(fingerprint)
        )
        return replace(self._make_outcome(ResultCode.OK), quarantined=quarantined_fingerprints)

    def _start_trial(self, command: StartTrial) -> Outcome:
        """Grant a trial of a suspect fingerprint, unless it is quarantined."""
        if self.losses.is_quarantined(command.request.fingerprint):
            reply = TrialReply(quarantined=True)
        else:
            reply = self.trials.start(command.request, command.wall_time_ms)
        return replace(self._make_outcome(ResultCode.OK), trial=reply)

    def _end_trial(self, command: EndTrial) -> None:
        """End a trial and delete the suspect's row if the trial cleared it."""
        fingerprint = command.request.fingerprint
        if self.trials.end(command.request) and self.losses.clear_suspect(fingerprint):
            self._store_rows({f"quarantine/{fingerprint}": None})

    def _release_fingerprint(self, command: ReleaseFingerprint) -> Outcome:
        """Delete the losses and the row of a suspect or quarantined fingerprint."""
        key = f"quarantine/{command.fingerprint}"
        if not isinstance(self.row(key), QuarantineRow):
            return self._make_outcome(ResultCode.NOT_FOUND, f"fingerprint {command.fingerprint}")
        self.losses.release(command.fingerprint)
        self._store_rows({key: None})
        return self._make_outcome(ResultCode.OK)

    def _record_departure(self, command: BackendLeft) -> None:
        """Record that an incarnation of a backend server left, most recent departure last.

        The lowest incarnation that has not left never falls. The oldest departure above
        ``MAX_DEPARTED_BACKEND_SERVERS`` is dropped.
        """
        # 0 stands for a server of which no departure is known.
        lowest_allowed_incarnation = max(
            self.departed.pop(command.identity, 0), command.incarnation + 1
        )
        self.departed[command.identity] = lowest_allowed_incarnation
        if len(self.departed) > MAX_DEPARTED_BACKEND_SERVERS:
            del self.departed[next(iter(self.departed))]

    def _present_rows(self) -> Mapping[str, ConfigRow]:
        """Return the rows that are not deleted, by key."""
        return {
            key: row_entry.row for key, row_entry in self.rows.items() if row_entry.row is not None
        }

    def _store_rows(self, changed_rows: Mapping[str, ConfigRow | None]) -> None:
        """Store rows under the next revision; None deletes a row and leaves a tombstone."""
        self.revision += 1
        for key, row in changed_rows.items():
            # Removed first, so that the dictionary stays ordered by revision.
            self.rows.pop(key, None)
            self.rows[key] = RowEntry(key, self.revision, row)
        self._prune_tombstones()

    def _prune_tombstones(self) -> None:
        """Remove the oldest tombstones above ``MAX_TOMBSTONES``; record up to which revision."""
        deleted_keys = [key for key, row_entry in self.rows.items() if row_entry.row is None]
        for key in deleted_keys[: max(0, len(deleted_keys) - MAX_TOMBSTONES)]:
            self.pruned_revision = max(self.pruned_revision, self.rows[key].revision)
            del self.rows[key]

    def _make_outcome(self, code: ResultCode, detail: str = "") -> Outcome:
        """Return an outcome with the present revisions.

        ``detail`` explains a refusal to the operator; it is empty if there is nothing to explain.
        """
        return Outcome(code, self.revision, self.operator_revision, detail)
