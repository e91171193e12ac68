"""Losses of backend servers by request fingerprint; a pure table."""

from msgspec import Struct, field

from baobabstream.control.commands import RecordLoss
from baobabstream.wire.rows import LOSSES_TO_QUARANTINE, QuarantineRow

__all__ = ["LossTable"]

# Suspects and quarantined fingerprints together, about 300 bytes each. A fault that takes many
# backend servers at once makes every request in flight a suspect.
MAX_FINGERPRINTS = 10_000
MAX_NAMED_LOSSES = 8


class LossTable(Struct):
    """Incarnations of backend servers that were lost while running each fingerprint."""

    losses: dict[str, list[str]] = field(default_factory=dict)

    def record(self, command: RecordLoss) -> list[QuarantineRow]:
        """Count a loss and return the rows of the fingerprints whose count rose.

        Two reports about one incarnation of a backend server are one loss.
        """
        loss = f"{command.backend_server}#{command.incarnation}"
        changed = []
        for fingerprint in dict.fromkeys(command.fingerprints):
            known = self.losses.setdefault(fingerprint, [])
            if loss not in known and len(known) < MAX_NAMED_LOSSES:
                known.append(loss)
                changed.append(QuarantineRow(fingerprint, len(known), ", ".join(known)))
        return changed

    def quarantined(self, fingerprint: str) -> bool:
        """Return whether a fingerprint has enough losses to be quarantined."""
        return len(self.losses.get(fingerprint, ())) >= LOSSES_TO_QUARANTINE

    def clear(self, fingerprint: str) -> bool:
        """Forget a suspect; return False if it is none or is quarantined."""
        if fingerprint not in self.losses or self.quarantined(fingerprint):
            return False
        del self.losses[fingerprint]
        return True

    def release(self, fingerprint: str) -> bool:
        """Forget a fingerprint and return whether it was known."""
        return self.losses.pop(fingerprint, None) is not None

    def drop_excess(self) -> list[str]:
        """Forget the oldest fingerprints over the limit, suspects first, and return them."""
        excess = len(self.losses) - MAX_FINGERPRINTS
        if excess <= 0:
            return []
        suspects = [name for name in self.losses if not self.quarantined(name)]
        others = [name for name in self.losses if self.quarantined(name)]
        dropped = (suspects + others)[:excess]
        for fingerprint in dropped:
            del self.losses[fingerprint]
        return dropped
