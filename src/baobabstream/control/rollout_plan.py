"""Next move of each rollout; pure decisions on rows and announced engines."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from baobabstream.control.commands import AdvanceRollout
from baobabstream.wire.rows import (
    BackendKind,
    BackendRecord,
    LoadedVersion,
    RolloutRow,
    RolloutState,
)

__all__ = ["Engines", "RolloutClock", "next_move", "unload_target"]

# The old version stays loaded until it has had no work for this time, since sessions are pinned
# to it, and at most for the retention time.
SESSION_QUIET_S = 600.0
RETENTION_S = 24 * 3600.0
# A load that takes longer has failed; the engine is left alone for as long again.
LOAD_TIMEOUT_S = 300.0


@dataclass(frozen=True, slots=True)
class Engines:
    """Announced engines and the ones that orders act on."""

    records: tuple[BackendRecord, ...]
    acting: frozenset[str]

    @classmethod
    def of(cls, records: Iterable[BackendRecord], acting: Iterable[str]) -> "Engines":
        """Return the engines among backend servers."""
        present = (x for x in records if x.kind is BackendKind.ENGINE and not x.leaving)
        return cls(tuple(sorted(present, key=lambda x: x.identity)), frozenset(acting))

    def having(self, version: LoadedVersion) -> list[BackendRecord]:
        """Return the engines that have a version loaded."""
        return [record for record in self.records if version in record.loaded]

    def may_act_on(self, engine: BackendRecord, acting: frozenset[str]) -> bool:
        """Return whether each version on an engine has a replica that nothing acts on."""
        busy = acting | {engine.identity}
        return all(
            any(other.identity not in busy for other in self.having(version))
            for version in engine.loaded
        )


@dataclass(slots=True)
class RolloutClock:
    """Times that a leader has seen in one rollout; a new leader starts them anew.

    A bake or a retention that starts again after a leader change lasts longer, never shorter.
    """

    step_key: tuple[RolloutState, int] | None = None
    step_since_s: float = 0.0
    load_since_s: dict[str, float] = field(default_factory=dict)
    failed_until_s: dict[str, float] = field(default_factory=dict)

    def time_in_step(self, row: RolloutRow, in_force: bool, now_s: float) -> float:
        """Return for how long the present step has been in force."""
        key = row.state, row.step
        if self.step_key != key:
            if not in_force:
                return 0.0
            self.step_key, self.step_since_s = key, now_s
        return now_s - self.step_since_s


def next_move(
    row: RolloutRow,
    engines: Engines,
    clock: RolloutClock,
    free_loads: int,
    in_force: bool,
    last_work_s: float,
    now_s: float,
) -> AdvanceRollout | None:
    """Return the command that moves a rollout on, or None if there is nothing to do yet.

    Parameters
    ----------
    row
        The rollout.
    engines
        Engines of a registry that is warm.
    clock
        Times seen in this rollout.
    free_loads
        Loads that the weight store's limit still allows.
    in_force
        Whether the rollout's present row is in force on all entries.
    last_work_s
        Time of the last work on the old version.
    now_s
        Present time in seconds.
    """
    match row.state:
        case RolloutState.LOADING:
            return _load(row, engines, clock, free_loads, now_s)
        case RolloutState.RUNNING:
            baked = clock.time_in_step(row, in_force, now_s) >= row.step_s and in_force
            move = _share(row, engines) if baked else None
            return move or _load_missing(row, engines, clock, free_loads, now_s)
        case RolloutState.COMPLETED if not row.retired:
            since_s = clock.time_in_step(row, in_force, now_s)
            quiet_s = min(since_s, now_s - last_work_s)
            quiet = quiet_s >= SESSION_QUIET_S and not row.loading
            if quiet or since_s >= RETENTION_S:
                return _move(row, row.state, row.step, row.share, retired=True)
            return _load_missing(row, engines, clock, free_loads, now_s)
    return None


def unload_target(row: RolloutRow, engines: Engines) -> BackendRecord | None:
    """Return the engine that should unload the old version next; one at a time."""
    if row.state is not RolloutState.COMPLETED or not row.retired:
        return None
    return next(iter(engines.having(LoadedVersion(row.model, row.from_version))), None)


def _load(
    row: RolloutRow, engines: Engines, clock: RolloutClock, free_loads: int, now_s: float
) -> AdvanceRollout | None:
    new, wanted = _replicas(row, engines)
    loading = _choose_loads(row, engines, clock, free_loads, now_s)
    if len(new) >= wanted:
        return _move(row, RolloutState.RUNNING, 0, row.steps[0], loading)
    reason = "" if loading else "no engine can load it without taking all replicas of a version"
    if (loading, reason) == (row.loading, row.reason):
        return None
    return _move(row, row.state, row.step, row.share, loading, reason)


def _load_missing(
    row: RolloutRow, engines: Engines, clock: RolloutClock, free_loads: int, now_s: float
) -> AdvanceRollout | None:
    """Return the loads on engines that lost the new version, or joined, after the first loads."""
    loading = _choose_loads(row, engines, clock, free_loads, now_s)
    if loading == row.loading:
        return None
    return _move(row, row.state, row.step, row.share, loading, row.reason)


def _replicas(row: RolloutRow, engines: Engines) -> tuple[list[BackendRecord], int]:
    """Return the engines with the new version, and how many there should be."""
    old = engines.having(LoadedVersion(row.model, row.from_version))
    new = engines.having(LoadedVersion(row.model, row.to_version))
    return new, max(1, len(old))


def _choose_loads(
    row: RolloutRow, engines: Engines, clock: RolloutClock, free_loads: int, now_s: float
) -> tuple[str, ...]:
    """Return the engines that should load the new version now."""
    old = engines.having(LoadedVersion(row.model, row.from_version))
    new, wanted = _replicas(row, engines)
    _note_failures(row, clock, now_s)
    waiting = {record.identity for record in engines.records} - {x.identity for x in new}
    loading = [x for x in row.loading if x in waiting and x not in clock.failed_until_s]
    freed = len(row.loading) - len(loading)
    room = min(free_loads + freed, wanted - len(new) - len(loading))
    acting = engines.acting - frozenset(row.loading) | frozenset(loading)
    # Engines of the old version first: they fit the model.
    for engine in sorted(engines.records, key=lambda x: x not in old):
        name = engine.identity
        if room <= 0:
            break
        if name not in waiting or name in acting or name in clock.failed_until_s:
            continue
        if engines.may_act_on(engine, acting):
            loading.append(name)
            acting |= {name}
            room -= 1
    return tuple(loading)


def _note_failures(row: RolloutRow, clock: RolloutClock, now_s: float) -> None:
    clock.failed_until_s = {k: v for k, v in clock.failed_until_s.items() if v > now_s}
    since_s = clock.load_since_s
    clock.load_since_s = {name: since_s.get(name, now_s) for name in row.loading}
    for name, started_s in clock.load_since_s.items():
        if now_s - started_s >= LOAD_TIMEOUT_S:
            clock.failed_until_s[name] = now_s + LOAD_TIMEOUT_S


def _share(row: RolloutRow, engines: Engines) -> AdvanceRollout | None:
    if not engines.having(LoadedVersion(row.model, row.to_version)):
        return None
    following = row.step + 1
    if following < len(row.steps):
        share = row.steps[following]
        return _move(row, RolloutState.RUNNING, following, share, row.loading)
    return _move(row, RolloutState.COMPLETED, row.step, 1.0, row.loading)


def _move(
    row: RolloutRow,
    state: RolloutState,
    step: int,
    share: float,
    loading: tuple[str, ...] = (),
    reason: str = "",
    retired: bool = False,
) -> AdvanceRollout:
    return AdvanceRollout(
        row.name, row.state, row.step, state, step, share, reason, loading, retired
    )
