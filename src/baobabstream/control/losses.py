"""Losses of backend servers by request fingerprint, part of the configuration state.

A fingerprint identifies requests with equal content. If such a request was running on a backend
server when that failed, the failure is a loss, and the fingerprint is a suspect. After
``LOSSES_TO_QUARANTINE`` losses it is quarantined, so that its requests do not run; a suspect is a
fingerprint with fewer losses. The incarnation numbers the successive processes of a backend server,
whose identity, its name, stays the same.
"""

from msgspec import Struct, field

from baobabstream.control.commands import RecordLoss
from baobabstream.wire.rows import LOSSES_TO_QUARANTINE, QuarantineRow

__all__ = ["LossTable"]

# Suspects and quarantined fingerprints together, about 300 bytes each. The limit is needed since
# a fault of many backend servers at once makes every request in flight a suspect.
MAX_FINGERPRINTS = 10_000
# Losses that are counted and named in the row of one fingerprint; further ones are ignored.
MAX_LOSSES_PER_FINGERPRINT = 8


class LossTable(Struct):
    """Losses of each fingerprint, oldest fingerprint first.

    A loss is stored as ``identity#incarnation`` of the lost backend server.
    """

    losses: dict[str, list[str]] = field(default_factory=dict)

    def record(self, command: RecordLoss) -> list[QuarantineRow]:
        """Count a loss and return the rows of the fingerprints whose count rose.

        Repeated reports of the same incarnation of a backend server count as one loss. A row holds
        the fingerprint, the number of its losses and, as its reason, the list of them.
        """
        loss_id = f"{command.backend_server}#{command.incarnation}"
        changed_rows = []
        # Drops repeated fingerprints, but keeps the order, so that all control hosts agree.
        for fingerprint in dict.fromkeys(command.fingerprints):
            fingerprint_losses = self.losses.setdefault(fingerprint, [])
            if (
                loss_id not in fingerprint_losses
                and len(fingerprint_losses) < MAX_LOSSES_PER_FINGERPRINT
            ):
                fingerprint_losses.append(loss_id)
                changed_rows.append(
                    QuarantineRow(
                        fingerprint, len(fingerprint_losses), ", ".join(fingerprint_losses)
                    )
                )
        return changed_rows

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a fingerprint has enough losses to be quarantined."""
        return len(self.losses.get(fingerprint, ())) >= LOSSES_TO_QUARANTINE

    def clear_suspect(self, fingerprint: str) -> bool:
        """Remove a suspect; return False if the fingerprint is no suspect or is quarantined."""
        if fingerprint not in self.losses or self.is_quarantined(fingerprint):
            return False
        del self.losses[fingerprint]
        return True

    def release(self, fingerprint: str) -> bool:
        """Remove a suspect or quarantined fingerprint and return whether it was in the table."""
        return self.losses.pop(fingerprint, None) is not None

    def drop_oldest_excess(self) -> list[str]:
        """Remove and return the oldest fingerprints above ``MAX_FINGERPRINTS``, suspects first."""
        excess_count = len(self.losses) - MAX_FINGERPRINTS
        if excess_count <= 0:
            return []
        suspects = [
            fingerprint for fingerprint in self.losses if not self.is_quarantined(fingerprint)
        ]
        quarantined = [
            fingerprint for fingerprint in self.losses if self.is_quarantined(fingerprint)
        ]
        dropped_fingerprints = (suspects + quarantined)[:excess_count]
        for fingerprint in dropped_fingerprints:
            del self.losses[fingerprint]
        return dropped_fingerprints
