"""Fake of the control leader: pooled version tests, suspects and trials."""

from collections.abc import Callable

from baobabstream.policy.version_health import VersionHealth
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import VersionEvidence
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

__all__ = ["FakeLeader"]


class FakeLeader:
    """Keeps the configuration and tells all entries of changes.

    Parameters
    ----------
    rows
        Configuration at the start.
    publish
        Called after each change of the view.
    """

    def __init__(self, rows: list[ConfigRow], publish: Callable[[], None]) -> None:
        self.view = ClusterView()
        self.health = VersionHealth()
        self.stopped_at: dict[tuple[str, str], float] = {}
        self._publish = publish
        self._trials: dict[str, str] = {}
        self.set_rows(rows, announce=False)
        for row in rows:
            if isinstance(row, RolloutRow):
                self.health.set_baseline(row.model, row.to_version, row.from_version)

    def set_rows(self, rows: list[ConfigRow], announce: bool = True) -> None:
        """Commit rows."""
        revision = self.view.revision + 1
        self.view.apply_rows(revision, [RowEntry(row_key(row), revision, row) for row in rows])
        if announce:
            self._publish()

    def take_evidence(self, evidence: tuple[VersionEvidence, ...], now_s: float) -> None:
        """Pool an entry's counts and stop versions whose test has crossed."""
        for item in evidence:
            self.health.observe(item, now_s)
        for verdict in self.health.verdicts(now_s):
            self.stop(verdict.model, verdict.version, verdict.reason, now_s)

    def stop(self, model: str, version: str, reason: str, now_s: float) -> None:
        """Stop a version."""
        row = self.view.versions[model, version]
        self.stopped_at.setdefault((model, version), now_s)
        stopped = VersionRow(
            model,
            version,
            row.cost_per_1k_tokens,
            row.prior_quality,
            VersionState.STOPPED,
            reason,
        )
        self.set_rows([stopped])

    def report_loss(self, fingerprints: list[str]) -> None:
        """Record that a server was lost while it ran these requests."""
        rows: list[ConfigRow] = []
        for fingerprint in fingerprints:
            losses = 1
            known = fingerprint in self.view.suspects or fingerprint in self.view.quarantined
            if known or fingerprint in self._trials:
                losses = LOSSES_TO_QUARANTINE
            self._trials.pop(fingerprint, None)
            rows.append(QuarantineRow(fingerprint, losses))
        self.set_rows(rows)

    def ask_trial(self, fingerprint: str, candidates: tuple[str, ...]) -> str:
        """Grant a server that runs no other suspect, or return an empty string."""
        if fingerprint in self._trials:
            return ""
        free = [item for item in candidates if item not in self._trials.values()]
        if not free:
            return ""
        self._trials[fingerprint] = free[0]
        return free[0]

    def end_trial(self, fingerprint: str) -> None:
        """Clear a suspect whose trial did not lose its server."""
        if self._trials.pop(fingerprint, None) is None:
            return
        revision = self.view.revision + 1
        key = row_key(QuarantineRow(fingerprint))
        self.view.apply_rows(revision, [RowEntry(key, revision, None)])
        self._publish()
