"""Accepted operator commands, so that a resend returns the first outcome."""

from hashlib import blake2b

from msgspec import Struct, field, msgpack

from baobabstream.control.commands import OperatorCommand
from baobabstream.control.outcome import Outcome
from baobabstream.errors.codes import ResultCode

__all__ = ["AcceptedChanges"]

# Three days of changes at 3,100 a day, about 300 bytes each.
REMEMBERED_CHANGES = 10_000
_DIGEST_BYTES = 16


class _Accepted(Struct, array_like=True):
    digest: bytes
    revision: int
    operator_revision: int


class AcceptedChanges(Struct):
    """Revisions of the last accepted changes by change identity, oldest first."""

    changes: dict[str, _Accepted] = field(default_factory=dict)

    def find(self, command: OperatorCommand) -> Outcome | None:
        """Return the first outcome of a command that is sent again, or None if it is new."""
        known = self.changes.get(command.change_id)
        if known is None:
            return None
        same = known.digest == _digest(command)
        code = ResultCode.OK if same else ResultCode.CHANGE_ID_REUSED
        return Outcome(code, known.revision, known.operator_revision)

    def add(self, command: OperatorCommand, outcome: Outcome) -> None:
        """Remember an accepted command."""
        self.changes[command.change_id] = _Accepted(
            _digest(command), outcome.revision, outcome.operator_revision
        )
        if len(self.changes) > REMEMBERED_CHANGES:
            del self.changes[next(iter(self.changes))]


def _digest(command: OperatorCommand) -> bytes:
    return blake2b(msgpack.encode(command), digest_size=_DIGEST_BYTES).digest()
