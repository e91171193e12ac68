"""Next command of a rollout and next engine to unload; pure functions.

A rollout replaces a model version (``from_version``, the old one) by another (``to_version``, the
new one). It is LOADING until as many engines have the new version as the old one, at least 1,
RUNNING while the new version's traffic share rises in steps, each lasting ``step_s`` (the bake
time), and COMPLETED at full share. Once the old version is no longer used, or ``MAX_RETENTION_S``
has passed, it is retired: its engines unload it. A rollout that an operator holds is PAUSED, and
one whose traffic has returned to the old version is STOPPED; neither gets commands from here.

The leader, one elected control host, commits the commands. An engine is a backend server that runs
models; its identity is its name. An engine with a version loaded is a replica of that version.
Engines load weights from the weight store, which limits the number of loads at once. A step, an
index into the traffic shares of the rollout, is in force once every entry process (a process that
receives the callers' requests) with a lease has applied it; without a lease a process may not act
on its configuration.
"""

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

__all__ = ["Engines", "RolloutTimers", "next_command", "next_engine_to_unload"]

# Sessions (conversations of several requests) are pinned to the version that they began with: all
# their requests run on it. After completion, the old version stays loaded until no results of it
# have been reported for this time.
SESSION_IDLE_S = 600.0
# Longest time for which the old version stays loaded after completion.
MAX_RETENTION_S = 24 * 3600.0
# A load that takes longer counts as failed, and the engine gets no load order for as long again.
LOAD_TIMEOUT_S = 300.0


@dataclass(frozen=True, slots=True)
class Engines:
    """Announced engines that are not leaving (shutting down), and those with a load in progress.

    Attributes
    ----------
    records
        The engines, sorted by identity.
    loading_identities
        Identities of the engines that any rollout has ordered to load a version.
    """

    records: tuple[BackendRecord, ...]
    loading_identities: frozenset[str]

    @classmethod
    def from_records(
        cls, records: Iterable[BackendRecord], loading_identities: Iterable[str]
    ) -> "Engines":
        """Select the engines that are not leaving among the announced backend servers."""
        present_engines = (
            record for record in records if record.kind is BackendKind.ENGINE and not record.leaving
        )
        return cls(
            tuple(sorted(present_engines, key=lambda record: record.identity)),
            frozenset(loading_identities),
        )

    def with_version(self, version: LoadedVersion) -> list[BackendRecord]:
        """Return the engines that have a version loaded."""
        return [record for record in self.records if version in record.loaded]

    def leaves_replicas_available(
        self, engine: BackendRecord, loading_identities: frozenset[str]
    ) -> bool:
        """Return whether a load on an engine leaves a replica of each of its versions available.

        A replica counts as available if its engine is not loading. ``loading_identities`` are the
        engines that are loading already.
        """
        unavailable = loading_identities | {engine.identity}
        return all(
            any(other.identity not in unavailable for other in self.with_version(version))
            for version in engine.loaded
        )


@dataclass(slots=True)
class RolloutTimers:
    """Times that one leader has recorded for a rollout, in seconds of its monotonic clock.

    A new leader starts with empty timers. A bake time or retention time that starts again after a
    leader change lasts longer, never shorter.

    Attributes
    ----------
    step_key
        State and step that ``step_started_s`` belongs to; None before any was in force.
    step_started_s
        Time since which the step has been in force.
    load_started_s
        For each engine that is loading, when the load was first recorded.
    retry_after_s
        For each engine whose load failed, when it may get a load order again.
    """

    step_key: tuple[RolloutState, int] | None = None
    step_started_s: float = 0.0
    load_started_s: dict[str, float] = field(default_factory=dict)
    retry_after_s: dict[str, float] = field(default_factory=dict)

    def time_in_step_s(self, row: RolloutRow, is_in_force: bool, now_s: float) -> float:
        """Return for how many seconds the present step has been in force.

        The first call that finds a new step in force records ``now_s`` as its start. Until then,
        the time is 0.
        """
        key = row.state, row.step
        if self.step_key != key:
            if not is_in_force:
                return 0.0
            self.step_key, self.step_started_s = key, now_s
        return now_s - self.step_started_s


def next_command(
    row: RolloutRow,
    engines: Engines,
    timers: RolloutTimers,
    free_load_slots: int,
    is_in_force: bool,
    last_use_s: float,
    now_s: float,
) -> AdvanceRollout | None:
    """Return the command that advances a rollout, or None if there is nothing to do yet.

    A LOADING rollout starts traffic once enough engines have the new version. A RUNNING one takes
    the next step after the bake time. In a COMPLETED one the old version is retired when it is no
    longer used, at the latest after ``MAX_RETENTION_S``. In each of these states, engines may get a
    load order for the new version.

    Parameters
    ----------
    row
        The rollout.
    engines
        Announced engines. All must have had time to announce themselves to this leader.
    timers
        Times that this leader has recorded for the rollout; updated by this call.
    free_load_slots
        Number of further loads that the weight store's limit allows.
    is_in_force
        Whether all entry processes with a lease have applied the present row.
    last_use_s
        Time in seconds at which results of the old version were last reported.
    now_s
        Present time in seconds, on the clock of ``timers`` and ``last_use_s``.
    """
    match row.state:
        case RolloutState.LOADING:
            return _loading_command(row, engines, timers, free_load_slots, now_s)
        case RolloutState.RUNNING:
            # The row must be in force now too: another change of the row may not have been applied.
            bake_time_elapsed = (
                timers.time_in_step_s(row, is_in_force, now_s) >= row.step_s and is_in_force
            )
            step_command = _next_step_command(row, engines) if bake_time_elapsed else None
            return step_command or _missing_load_command(
                row, engines, timers, free_load_slots, now_s
            )
        case RolloutState.COMPLETED if not row.retired:
            in_step_s = timers.time_in_step_s(row, is_in_force, now_s)
            # Counts from the completion, or from the last use of the old version if that is later.
            idle_s = min(in_step_s, now_s - last_use_s)
            # Engines that load the new version for its traffic also delay the retirement.
            old_version_is_dispensable = idle_s >= SESSION_IDLE_S and not row.loading
            if old_version_is_dispensable or in_step_s >= MAX_RETENTION_S:
                return _advance_command(row, row.state, row.step, row.share, retired=True)
            return _missing_load_command(row, engines, timers, free_load_slots, now_s)
    return None


def next_engine_to_unload(row: RolloutRow, engines: Engines) -> BackendRecord | None:
    """Return an engine that should unload the retired old version, or None if none has it.

    Engines get the order one at a time, in the order of their identities.
    """
    if row.state is not RolloutState.COMPLETED or not row.retired:
        return None
    return next(iter(engines.with_version(LoadedVersion(row.model, row.from_version))), None)


def _loading_command(
    row: RolloutRow, engines: Engines, timers: RolloutTimers, free_load_slots: int, now_s: float
) -> AdvanceRollout | None:
    """Return the command for a rollout in state LOADING, or None if nothing changes.

    Traffic starts, with the first step, once enough engines have loaded the new version. The reason
    in the row tells operators why no engine is loading.
    """
    new_replicas, target_count = _new_replicas_and_target_count(row, engines)
    loading = _choose_loading_engines(row, engines, timers, free_load_slots, now_s)
    if len(new_replicas) >= target_count:
        # The first step has the index 0.
        return _advance_command(row, RolloutState.RUNNING, 0, row.steps[0], loading)
    reason = "" if loading else "no engine can load it without taking all replicas of a version"
    if (loading, reason) == (row.loading, row.reason):
        return None
    return _advance_command(row, row.state, row.step, row.share, loading, reason)


def _missing_load_command(
    row: RolloutRow, engines: Engines, timers: RolloutTimers, free_load_slots: int, now_s: float
) -> AdvanceRollout | None:
    """Return a command that updates the load orders after traffic has started, or None.

    Engines that joined or restarted during the rollout may lack the new version.
    """
    loading = _choose_loading_engines(row, engines, timers, free_load_slots, now_s)
    if loading == row.loading:
        return None
    return _advance_command(row, row.state, row.step, row.share, loading, row.reason)


def _new_replicas_and_target_count(
    row: RolloutRow, engines: Engines
) -> tuple[list[BackendRecord], int]:
    """Return the engines with the new version and the number of engines that should have it.

    That is the number of engines with the old version, but at least 1.
    """
    old_replicas = engines.with_version(LoadedVersion(row.model, row.from_version))
    new_replicas = engines.with_version(LoadedVersion(row.model, row.to_version))
    return new_replicas, max(1, len(old_replicas))


def _choose_loading_engines(
    row: RolloutRow, engines: Engines, timers: RolloutTimers, free_load_slots: int, now_s: float
) -> tuple[str, ...]:
    """Return the identities of the engines that should be loading the new version now.

    Loads in progress go on. Further engines are added up to the missing number of replicas and the
    limit of the weight store, if a replica of each of their versions remains available.
    """
    old_replicas = engines.with_version(LoadedVersion(row.model, row.from_version))
    new_replicas, target_count = _new_replicas_and_target_count(row, engines)
    _update_load_timeouts(row, timers, now_s)
    identities_without_new = {record.identity for record in engines.records} - {
        record.identity for record in new_replicas
    }
    loading = [
        identity
        for identity in row.loading
        if identity in identities_without_new and identity not in timers.retry_after_s
    ]
    # Loads that have ended are free again, though ``free_load_slots`` does not count them as free.
    ended_load_count = len(row.loading) - len(loading)
    available_load_count = min(
        free_load_slots + ended_load_count, target_count - len(new_replicas) - len(loading)
    )
    # Engines that load for any rollout, without those whose load for this rollout has ended.
    loading_identities = engines.loading_identities - frozenset(row.loading) | frozenset(loading)
    # Engines with the old version come first, since they can hold this model: the key is False for
    # them, which sorts before True.
    for engine in sorted(engines.records, key=lambda record: record not in old_replicas):
        identity = engine.identity
        if available_load_count <= 0:
            break
        if (
            identity not in identities_without_new
            or identity in loading_identities
            or identity in timers.retry_after_s
        ):
            continue
        if engines.leaves_replicas_available(engine, loading_identities):
            loading.append(identity)
            loading_identities |= {identity}
            available_load_count -= 1
    return tuple(loading)


def _update_load_timeouts(row: RolloutRow, timers: RolloutTimers, now_s: float) -> None:
    """Record when loads started, and give engines whose load timed out no load for a while.

    Entries of ``retry_after_s`` whose time has passed, and start times of loads that are no longer
    in the row, are deleted.
    """
    timers.retry_after_s = {
        identity: retry_after_s
        for identity, retry_after_s in timers.retry_after_s.items()
        if retry_after_s > now_s
    }
    previous_started_s = timers.load_started_s
    timers.load_started_s = {
        identity: previous_started_s.get(identity, now_s) for identity in row.loading
    }
    for identity, started_s in timers.load_started_s.items():
        if now_s - started_s >= LOAD_TIMEOUT_S:
            timers.retry_after_s[identity] = now_s + LOAD_TIMEOUT_S


def _next_step_command(row: RolloutRow, engines: Engines) -> AdvanceRollout | None:
    """Return the command for the next traffic share, or None if no engine has the new version.

    Without such an engine, the share does not rise, since nothing could run the requests of the new
    version. After the last step, the command completes the rollout.
    """
    if not engines.with_version(LoadedVersion(row.model, row.to_version)):
        return None
    next_step = row.step + 1
    if next_step < len(row.steps):
        share = row.steps[next_step]
        return _advance_command(row, RolloutState.RUNNING, next_step, share, row.loading)
    # A share of 1.0: all traffic goes to the new version.
    return _advance_command(row, RolloutState.COMPLETED, row.step, 1.0, row.loading)


def _advance_command(
    row: RolloutRow,
    state: RolloutState,
    step: int,
    share: float,
    loading: tuple[str, ...] = (),
    reason: str = "",
    retired: bool = False,
) -> AdvanceRollout:
    """Return a command that takes effect only in the present state and step of the rollout.

    ``state``, ``step`` (an index into ``row.steps``), ``share`` (0 to 1), ``loading`` and
    ``reason`` replace those of the row, so that an empty one clears it. ``retired`` lets the
    engines unload the old version.
    """
    return AdvanceRollout(
        row.name, row.state, row.step, state, step, share, reason, loading, retired
    )
