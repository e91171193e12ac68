"""Stops model versions whose results, reported by all entry hosts, are too bad.

An entry host receives the callers' requests and reports evidence: counts of successes, errors and
ratings per model version. A sequential test decides after each addition whether a version is bad; a
verdict names a bad version and the reason. The baseline of a version is the one that it replaces in
a rollout. A stopped version gets no requests until an operator activates it again. The guard runs
on the leader of the control hosts, which store the configuration; times are in seconds of its
monotonic clock.
"""

from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from baobabstream.control.commands import Command, SetVersionState
from baobabstream.control.outcome import Outcome
from baobabstream.control.state import ConfigState
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.policy.version_health import HealthVerdict
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import VersionEvidence
from baobabstream.wire.rows import VersionRow, VersionState

__all__ = ["HealthTest", "VersionGuard"]

_log = get_logger("control")


class HealthTest(Protocol):
    """Sequential test of the results of model versions; implemented by ``VersionHealth``."""

    def set_baseline(self, model: str, version: str, baseline_version: str) -> None:
        """Set the version that a version replaces and is compared with."""

    def observe(self, evidence: VersionEvidence, now_s: float) -> None:
        """Add counts of a version's results at a time in seconds."""

    def verdicts(self, now_s: float) -> list[HealthVerdict]:
        """Return the versions that have been found bad since the last call."""

    def forget(self, model: str, version: str) -> None:
        """Delete the results of a version."""


class VersionGuard:
    """Feeds the health test and stops each version that the test finds bad.

    Parameters
    ----------
    state
        State built by the replicated log.
    health
        Test of the results of each version.
    propose
        Commits a command to the replicated log.
    """

    def __init__(
        self,
        state: ConfigState,
        health: HealthTest,
        propose: Callable[[Command], Awaitable[Outcome]],
    ) -> None:
        self._state = state
        self._health = health
        self._propose = propose
        # Below any revision of the configuration, so that the first call reads it.
        self._synced_revision = -1
        # Verdicts whose stop is not committed yet, by model and version.
        self._pending_verdicts: dict[tuple[str, str], HealthVerdict] = {}
        # Model and version of those that this guard has stopped.
        self._stopped_versions: set[tuple[str, str]] = set()

    def observe(self, evidence: Iterable[VersionEvidence], now_s: float) -> None:
        """Pass counts of results to the health test; those of unconfigured versions are ignored."""
        for version_evidence in evidence:
            if self._version_row(version_evidence.model, version_evidence.version) is not None:
                self._health.observe(version_evidence, now_s)

    async def stop_bad_versions(self, now_s: float) -> list[HealthVerdict]:
        """Stop the versions found bad and return the verdicts whose stop was committed.

        A verdict whose command could not be committed is kept and tried again in the next call.
        """
        self._sync_with_state()
        for verdict in self._health.verdicts(now_s):
            self._pending_verdicts[verdict.model, verdict.version] = verdict
        committed_verdicts = [
            verdict
            for verdict in list(self._pending_verdicts.values())
            if await self._propose_stop(verdict)
        ]
        for verdict in committed_verdicts:
            del self._pending_verdicts[verdict.model, verdict.version]
            self._stopped_versions.add((verdict.model, verdict.version))
        return committed_verdicts

    async def _propose_stop(self, verdict: HealthVerdict) -> bool:
        """Propose the stop of a version and return whether the command was committed."""
        command = SetVersionState(
            verdict.model, verdict.version, VersionState.STOPPED, verdict.reason
        )
        try:
            await self._propose(command)
        except BaobabstreamError as error:
            version_name = f"{verdict.model}@{verdict.version}"
            _log.warning(
                "Could not commit the stop of version %s yet: %s.", version_name, error.detail
            )
            return False
        return True

    def _sync_with_state(self) -> None:
        """Update the baselines and reset reactivated versions if the configuration has changed.

        The revision, the number of the last change of the configuration, shows whether it has.
        """
        if self._state.revision == self._synced_revision:
            return
        self._synced_revision = self._state.revision
        for row in self._state.rollouts():
            self._health.set_baseline(row.model, row.to_version, row.from_version)
        for model_version in list(self._stopped_versions):
            version_row = self._version_row(*model_version)
            if version_row is None or version_row.state is VersionState.ACTIVE:
                # An operator activated or deleted it; its earlier results no longer count.
                self._health.forget(*model_version)
                self._stopped_versions.discard(model_version)

    def _version_row(self, model: str, version: str) -> VersionRow | None:
        """Return the row of a version, or None if it is not configured."""
        row = self._state.row(f"version/{model}@{version}")
        return row if isinstance(row, VersionRow) else None
