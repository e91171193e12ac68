"""Stops versions on the evidence that all entries report."""

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
    """Sequential test of versions; implemented by ``VersionHealth``."""

    def set_baseline(self, model: str, version: str, baseline_version: str) -> None:
        """Name the version that a version replaces."""

    def observe(self, evidence: VersionEvidence, now_s: float) -> None:
        """Count results of a version."""

    def verdicts(self, now_s: float) -> list[HealthVerdict]:
        """Return versions newly found bad."""

    def forget(self, model: str, version: str) -> None:
        """Drop the results of a version."""


class VersionGuard:
    """Feeds the health test and proposes the stop of each version that it finds bad.

    Parameters
    ----------
    state
        State built by the replicated log.
    health
        Test to run.
    propose
        Commits a command.
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
        self._revision = -1
        self._bad: dict[tuple[str, str], HealthVerdict] = {}
        self._stopped: set[tuple[str, str]] = set()

    def observe(self, evidence: Iterable[VersionEvidence], now_s: float) -> None:
        """Count results; those of versions that are not configured are ignored."""
        for item in evidence:
            if self._version(item.model, item.version) is not None:
                self._health.observe(item, now_s)

    async def evaluate(self, now_s: float) -> list[HealthVerdict]:
        """Stop the versions found bad and return the verdicts that took effect.

        A verdict whose command could not be committed is kept and tried again.
        """
        self._follow_state()
        for verdict in self._health.verdicts(now_s):
            self._bad[verdict.model, verdict.version] = verdict
        stopped = [verdict for verdict in list(self._bad.values()) if await self._stop(verdict)]
        for verdict in stopped:
            del self._bad[verdict.model, verdict.version]
            self._stopped.add((verdict.model, verdict.version))
        return stopped

    async def _stop(self, verdict: HealthVerdict) -> bool:
        command = SetVersionState(
            verdict.model, verdict.version, VersionState.STOPPED, verdict.reason
        )
        try:
            await self._propose(command)
        except BaobabstreamError as error:
            name = f"{verdict.model}@{verdict.version}"
            _log.warning("Stop of %s is not committed yet: %s.", name, error.detail)
            return False
        return True

    def _follow_state(self) -> None:
        if self._state.revision == self._revision:
            return
        self._revision = self._state.revision
        for row in self._state.rollouts():
            self._health.set_baseline(row.model, row.to_version, row.from_version)
        for name in list(self._stopped):
            version = self._version(*name)
            if version is None or version.state is VersionState.ACTIVE:
                # An operator made it active again; its earlier results no longer count.
                self._health.forget(*name)
                self._stopped.discard(name)

    def _version(self, model: str, version: str) -> VersionRow | None:
        row = self._state.row(f"version/{model}@{version}")
        return row if isinstance(row, VersionRow) else None
