"""State that the replicated log builds; a pure state machine."""

from msgspec import Struct, field
from msgspec.structs import replace

from baobabstream.control.claims import ClaimTable
from baobabstream.control.commands import (
    AdvanceRollout,
    Command,
    ConfigChange,
    LeaderStarted,
    RecordLoss,
    SetVersionState,
    UpdateClaim,
)
from baobabstream.control.outcome import Outcome
from baobabstream.control.validation import validate_change
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.rows import (
    LOSSES_TO_QUARANTINE,
    ConfigRow,
    QuarantineRow,
    RolloutRow,
    RowEntry,
    VersionRow,
    VersionState,
    row_key,
)

__all__ = ["ConfigState"]

REMEMBERED_CHANGES = 10_000


class _AcceptedChange(Struct):
    change: ConfigChange
    outcome: Outcome


class ConfigState(Struct):
    """Configuration rows by key, accepted changes, claims and losses.

    Attributes
    ----------
    revision
        Rises with each change of a row.
    operator_revision
        Revision of the last operator change.
    losses
        For each fingerprint, the incarnations of backend servers lost while they ran it.
    """

    revision: int = 0
    operator_revision: int = 0
    rows: dict[str, RowEntry] = field(default_factory=dict)
    changes: dict[str, _AcceptedChange] = field(default_factory=dict)
    claims: ClaimTable = field(default_factory=ClaimTable)
    losses: dict[str, list[str]] = field(default_factory=dict)

    def apply(self, command: Command) -> Outcome:
        """Apply a committed command; the same commands in order give the same state."""
        match command:
            case ConfigChange():
                return self._apply_change(command)
            case SetVersionState():
                return self._set_version_state(command)
            case AdvanceRollout():
                return self._advance_rollout(command)
            case UpdateClaim():
                reply = self.claims.apply(command.request, command.wall_time_ms)
                return self._outcome(ResultCode(reply.code), claim=reply)
            case RecordLoss():
                return self._record_loss(command)
            case LeaderStarted():
                return self._outcome(ResultCode.OK)

    def rows_after(self, revision: int) -> tuple[RowEntry, ...]:
        """Return the rows, deleted ones included, that changed after a revision."""
        return tuple(entry for entry in self.rows.values() if entry.revision > revision)

    def row(self, key: str) -> ConfigRow | None:
        """Return the row with a key, or None."""
        entry = self.rows.get(key)
        return entry.row if entry is not None else None

    def _apply_change(self, command: ConfigChange) -> Outcome:
        known = self.changes.get(command.change_id)
        if known is not None:
            if known.change != command:
                return self._outcome(ResultCode.CHANGE_ID_REUSED)
            return known.outcome
        if command.base_revision != self.operator_revision:
            detail = f"the operator revision is {self.operator_revision}"
            return self._outcome(ResultCode.REVISION_CONFLICT, detail)
        problem = validate_change(self.rows, command)
        if problem:
            return self._outcome(ResultCode.CHANGE_INVALID, problem)
        self._store({row_key(row): row for row in command.put} | dict.fromkeys(command.delete))
        self.operator_revision = self.revision
        outcome = self._outcome(ResultCode.OK)
        self._remember(command, outcome)
        return outcome

    def _remember(self, command: ConfigChange, outcome: Outcome) -> None:
        self.changes[command.change_id] = _AcceptedChange(command, outcome)
        if len(self.changes) > REMEMBERED_CHANGES:
            del self.changes[next(iter(self.changes))]

    def _set_version_state(self, command: SetVersionState) -> Outcome:
        row = self.row(f"version/{command.model}@{command.version}")
        if not isinstance(row, VersionRow):
            return self._outcome(ResultCode.NOT_FOUND)
        if row.state is VersionState.WITHDRAWN:
            return self._outcome(ResultCode.CHANGE_INVALID, "the version is withdrawn")
        changed = replace(row, state=command.state, reason=command.reason)
        self._store({row_key(row): changed})
        return self._outcome(ResultCode.OK)

    def _advance_rollout(self, command: AdvanceRollout) -> Outcome:
        row = self.row(f"rollout/{command.name}")
        if not isinstance(row, RolloutRow):
            return self._outcome(ResultCode.NOT_FOUND)
        if (row.state, row.step) != (command.expected_state, command.expected_step):
            return self._outcome(ResultCode.REVISION_CONFLICT, f"it is {row.state}, {row.step}")
        changed = replace(
            row,
            state=command.state,
            step=command.step,
            share=command.share,
            reason=command.reason,
        )
        self._store({row_key(row): changed})
        return self._outcome(ResultCode.OK)

    def _record_loss(self, command: RecordLoss) -> Outcome:
        loss = f"{command.backend_server}#{command.incarnation}"
        for fingerprint in command.fingerprints:
            lost = self.losses.setdefault(fingerprint, [])
            if loss not in lost:
                lost.append(loss)
        crossed = tuple(
            fingerprint
            for fingerprint in command.fingerprints
            if len(self.losses[fingerprint]) >= LOSSES_TO_QUARANTINE
        )
        rows = (
            QuarantineRow(item, len(self.losses[item]), ", ".join(self.losses[item]))
            for item in command.fingerprints
        )
        new = {row_key(row): row for row in rows if self.row(row_key(row)) != row}
        if new:
            self._store(dict(new))
        return self._outcome(ResultCode.OK, quarantined=crossed)

    def _store(self, changed: dict[str, ConfigRow | None]) -> None:
        self.revision += 1
        for key, row in changed.items():
            self.rows[key] = RowEntry(key, self.revision, row)

    def _outcome(
        self,
        code: ResultCode,
        detail: str = "",
        claim=None,
        quarantined: tuple[str, ...] = (),
    ) -> Outcome:
        return Outcome(code, self.revision, self.operator_revision, detail, claim, quarantined)
