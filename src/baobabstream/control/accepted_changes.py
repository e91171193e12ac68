"""Accepted operator commands, so that a resent command returns its first outcome.

An operator resends a command whose answer was lost. The operator gives each command a change
identity (``change_id``), by which a resend is recognised. The revision numbers the states of the
configuration; the operator revision is the one after the last accepted operator command.
"""

from hashlib import blake2b

from msgspec import Struct, field, msgpack

from baobabstream.control.commands import OperatorCommand
from baobabstream.control.outcome import Outcome
from baobabstream.errors.codes import ResultCode

__all__ = ["AcceptedChanges"]

# The commands of three days at 3,100 a day; about 300 bytes each.
MAX_ACCEPTED_CHANGES = 10_000
# Size of the digest by which two commands are compared.
_DIGEST_BYTES = 16


class _AcceptedChange(Struct, array_like=True):
    """Digest of an accepted command, and the two revisions that its outcome named."""

    digest: bytes
    revision: int
    operator_revision: int


class AcceptedChanges(Struct):
    """Last accepted operator commands by change identity, oldest first."""

    changes: dict[str, _AcceptedChange] = field(default_factory=dict)

    def find(self, command: OperatorCommand) -> Outcome | None:
        """Return the first outcome of a resent command, or None if its change identity is new.

        The code is ``CHANGE_ID_REUSED`` if another command was accepted with that identity.
        """
        accepted = self.changes.get(command.change_id)
        if accepted is None:
            return None
        is_same_command = accepted.digest == _command_digest(command)
        code = ResultCode.OK if is_same_command else ResultCode.CHANGE_ID_REUSED
        return Outcome(code, accepted.revision, accepted.operator_revision)

    def add(self, command: OperatorCommand, outcome: Outcome) -> None:
        """Store an accepted command, dropping the oldest one above ``MAX_ACCEPTED_CHANGES``."""
        self.changes[command.change_id] = _AcceptedChange(
            _command_digest(command), outcome.revision, outcome.operator_revision
        )
        if len(self.changes) > MAX_ACCEPTED_CHANGES:
            # A dictionary keeps the order of insertion, so its first key is the oldest.
            del self.changes[next(iter(self.changes))]


def _command_digest(command: OperatorCommand) -> bytes:
    """Return a digest that two commands share only if they are equal."""
    return blake2b(msgpack.encode(command), digest_size=_DIGEST_BYTES).digest()
