"""State that the replicated log builds; a pure state machine."""

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
    advanced,
    controlled,
    prepared_rows,
    rollouts_after_stop,
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

# Deleted rows kept for deltas. An entry that is further behind gets all rows.
KEPT_TOMBSTONES = 1000
# Departed incarnations kept; a delayed announcement is at most seconds old.
KEPT_DEPARTED = 4096

_VERSION_STATES = {
    VersionAction.ACTIVATE: VersionState.ACTIVE,
    VersionAction.STOP: VersionState.STOPPED,
    VersionAction.WITHDRAW: VersionState.WITHDRAWN,
}


class ConfigState(Struct):
    """Configuration rows by key, accepted changes, claims and losses.

    Attributes
    ----------
    revision
        Rises with each change of a row.
    operator_revision
        Revision of the last operator change.
    pruned_revision
        Deletions up to this revision are no longer known one by one.
    departed
        For each backend server that left, the lowest incarnation that has not left.
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
        """Apply a committed command; the same commands in order give the same state."""
        match command:
            case ConfigChange():
                return self._once(command, self._change)
            case ControlVersion():
                return self._once(command, self._control_version)
            case ControlRollout():
                return self._once(command, self._control_rollout)
            case ReleaseFingerprint():
                return self._once(command, self._release)
            case SetVersionState():
                return self._set_version(command.model, command.version, command.state, command)
            case AdvanceRollout():
                return self._advance_rollout(command)
            case UpdateClaim():
                reply = self.claims.apply(command.request, command.wall_time_ms)
                return replace(self._outcome(ResultCode(reply.code)), claim=reply)
            case EntryGone():
                self.claims.mark_gone(command.host, command.incarnation)
            case RecordLoss():
                return self._record_loss(command)
            case StartTrial():
                return self._start_trial(command)
            case EndTrial():
                self._end_trial(command)
            case BackendLeft():
                self._backend_left(command)
            case LeaderStarted():
                pass
        return self._outcome(ResultCode.OK)

    def snapshot(self) -> bytes:
        """Return the whole state as msgpack."""
        return msgpack.encode(self)

    def restore(self, data: bytes) -> None:
        """Replace the whole state in place by a snapshot."""
        other = msgpack.decode(data, type=ConfigState)
        for name in self.__struct_fields__:
            setattr(self, name, getattr(other, name))

    def rows_after(self, revision: int) -> tuple[RowEntry, ...]:
        """Return the rows, deleted ones included, that changed after a revision."""
        if revision == self.revision:
            return ()
        if self.rows_complete(revision):
            return tuple(entry for entry in self.rows.values() if entry.row is not None)
        return tuple(entry for entry in self.rows.values() if entry.revision > revision)

    def rows_complete(self, revision: int) -> bool:
        """Return whether ``rows_after`` gives all rows instead of the changed ones."""
        return revision < self.pruned_revision

    def row(self, key: str) -> ConfigRow | None:
        """Return the row with a key, or None."""
        entry = self.rows.get(key)
        return entry.row if entry is not None else None

    def rollouts(self) -> list[RolloutRow]:
        """Return all rollouts."""
        rows = (entry.row for entry in self.rows.values())
        return [row for row in rows if isinstance(row, RolloutRow)]

    def _once(self, command: OperatorCommand, work: Callable[[Any], Outcome]) -> Outcome:
        first = self.accepted.find(command)
        if first is not None:
            return first
        if command.base_revision not in (None, self.operator_revision):
            detail = f"the operator revision is {self.operator_revision}"
            return self._outcome(ResultCode.REVISION_CONFLICT, detail)
        outcome = work(command)
        if outcome.code is not ResultCode.OK:
            return outcome
        self.operator_revision = self.revision
        outcome = self._outcome(ResultCode.OK)
        self.accepted.add(command, outcome)
        return outcome

    def _change(self, command: ConfigChange) -> Outcome:
        checked = validate_change(self.rows, command)
        if isinstance(checked, Err):
            return self._outcome(ResultCode.CHANGE_INVALID, checked.err_value)
        changed: dict[str, ConfigRow | None] = dict.fromkeys(command.delete)
        self._store(changed | prepared_rows(command.put, self._present()))
        for key in command.delete:
            self.losses.release(key.removeprefix("quarantine/"))
        return self._outcome(ResultCode.OK)

    def _control_version(self, command: ControlVersion) -> Outcome:
        wanted = _VERSION_STATES[command.action]
        return self._set_version(command.model, command.version, wanted, command)

    def _set_version(
        self,
        model: str,
        version: str,
        wanted: VersionState,
        command: ControlVersion | SetVersionState,
    ) -> Outcome:
        row = self.row(f"version/{model}@{version}")
        if not isinstance(row, VersionRow):
            return self._outcome(ResultCode.NOT_FOUND, f"version {model}@{version}")
        if row.state is VersionState.WITHDRAWN and wanted is not VersionState.WITHDRAWN:
            return self._outcome(ResultCode.CHANGE_INVALID, "the version is withdrawn for good")
        changed = replace(row, state=wanted, reason=command.reason)
        if row.state is not wanted:
            self._store({row_key(row): changed} | rollouts_after_stop(self._present(), changed))
        return self._outcome(ResultCode.OK)

    def _control_rollout(self, command: ControlRollout) -> Outcome:
        row = self.row(f"rollout/{command.name}")
        if not isinstance(row, RolloutRow):
            return self._outcome(ResultCode.NOT_FOUND, f"rollout {command.name}")
        changed = controlled(row, command)
        if changed is None:
            return self._outcome(ResultCode.CHANGE_INVALID, f"the rollout is {row.state.value}")
        if changed != row:
            self._store({row_key(row): changed})
        return self._outcome(ResultCode.OK)

    def _advance_rollout(self, command: AdvanceRollout) -> Outcome:
        row = self.row(f"rollout/{command.name}")
        if not isinstance(row, RolloutRow):
            return self._outcome(ResultCode.NOT_FOUND)
        target = self.row(f"version/{row.model}@{row.to_version}")
        usable = isinstance(target, VersionRow) and target.state is VersionState.ACTIVE
        changed = advanced(row, command, usable)
        if changed is None:
            detail = f"the rollout is {row.state.value} at step {row.step}"
            return self._outcome(ResultCode.REVISION_CONFLICT, detail)
        if changed != row:
            self._store({row_key(row): changed})
        return self._outcome(ResultCode.OK)

    def _record_loss(self, command: RecordLoss) -> Outcome:
        rows = self.losses.record(command)
        changed: dict[str, ConfigRow | None] = {row_key(row): row for row in rows}
        changed |= dict.fromkeys(f"quarantine/{name}" for name in self.losses.drop_excess())
        if changed:
            self._store(changed)
        for fingerprint in command.fingerprints:
            self.trials.loss_recorded(fingerprint, command.backend_server)
        crossed = tuple(item for item in command.fingerprints if self.losses.quarantined(item))
        return replace(self._outcome(ResultCode.OK), quarantined=crossed)

    def _start_trial(self, command: StartTrial) -> Outcome:
        if self.losses.quarantined(command.request.fingerprint):
            reply = TrialReply(quarantined=True)
        else:
            reply = self.trials.start(command.request, command.wall_time_ms)
        return replace(self._outcome(ResultCode.OK), trial=reply)

    def _end_trial(self, command: EndTrial) -> None:
        fingerprint = command.request.fingerprint
        if self.trials.end(command.request) and self.losses.clear(fingerprint):
            self._store({f"quarantine/{fingerprint}": None})

    def _release(self, command: ReleaseFingerprint) -> Outcome:
        key = f"quarantine/{command.fingerprint}"
        if not isinstance(self.row(key), QuarantineRow):
            return self._outcome(ResultCode.NOT_FOUND, f"fingerprint {command.fingerprint}")
        self.losses.release(command.fingerprint)
        self._store({key: None})
        return self._outcome(ResultCode.OK)

    def _backend_left(self, command: BackendLeft) -> None:
        lowest = max(self.departed.pop(command.identity, 0), command.incarnation + 1)
        self.departed[command.identity] = lowest
        if len(self.departed) > KEPT_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def _present(self) -> Mapping[str, ConfigRow]:
        return {key: entry.row for key, entry in self.rows.items() if entry.row is not None}

    def _store(self, changed: Mapping[str, ConfigRow | None]) -> None:
        self.revision += 1
        for key, row in changed.items():
            # Removed first, so that the rows stay in the order of their revisions.
            self.rows.pop(key, None)
            self.rows[key] = RowEntry(key, self.revision, row)
        self._prune()

    def _prune(self) -> None:
        deleted = [key for key, entry in self.rows.items() if entry.row is None]
        for key in deleted[: max(0, len(deleted) - KEPT_TOMBSTONES)]:
            self.pruned_revision = max(self.pruned_revision, self.rows[key].revision)
            del self.rows[key]

    def _outcome(self, code: ResultCode, detail: str = "") -> Outcome:
        return Outcome(code, self.revision, self.operator_revision, detail)
