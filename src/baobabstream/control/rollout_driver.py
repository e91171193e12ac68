"""Drives the rollouts on the leader: orders to engines and steps of the traffic share."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from baobabstream.control.commands import Command
from baobabstream.control.engine_orders import EngineOrders, OrderAction, OrderResult
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.outcome import Outcome
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.rollout_plan import Engines, RolloutClock, next_move, unload_target
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.rows import RolloutRow, RolloutState

__all__ = ["RolloutDriver"]

TICK_S = 0.25
# An order that was accepted is repeated in case the engine lost it with a restart.
REPEAT_ORDER_S = 10.0
RETRY_ORDER_S = 1.0
# An engine that restarts after the first loads loads the new version while the rollout goes on.
_LOADING_STATES = (RolloutState.LOADING, RolloutState.RUNNING, RolloutState.COMPLETED)

_log = get_logger("control")


class RolloutDriver:
    """Moves the rollouts on; every step is a row in the log, so that any leader can go on.

    The engines that are to load are recorded before they get an order. A new leader repeats the
    order and counts the load against the weight store's limit.

    Parameters
    ----------
    state
        State built by the replicated log.
    registry
        Announced backend servers.
    leases
        Leases of the entries.
    orders
        Sends orders to engines.
    propose
        Commits a command.
    weight_store_loads
        Most loads from the weight store at once.
    timeline
        Event timeline of this host.
    clock
        Returns the time in seconds.
    """

    def __init__(
        self,
        state: ConfigState,
        registry: BackendRegistry,
        leases: EntryLeases,
        orders: EngineOrders,
        propose: Callable[[Command], Awaitable[Outcome]],
        weight_store_loads: int,
        timeline: TimeLine,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._registry = registry
        self._leases = leases
        self._orders = orders
        self._propose = propose
        self._load_limit = weight_store_loads
        self._timeline = timeline
        self._clock = clock
        self._clocks: dict[str, RolloutClock] = {}
        self._next_order_s: dict[tuple[str, int, str, OrderAction], float] = {}
        self._last_work_s: dict[tuple[str, str], float] = {}

    def note_work(self, model: str, version: str) -> None:
        """Record that a version had work just now."""
        self._last_work_s[model, version] = self._clock()

    async def run(self) -> None:
        """Drive all rollouts until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(TICK_S)

    async def tick(self) -> None:
        """Move each rollout by at most one step and send the orders that are due."""
        if not self._registry.warm(self._clock()):
            return
        rollouts = self._state.rollouts()
        names = {row.name for row in rollouts}
        self._clocks = {name: clock for name, clock in self._clocks.items() if name in names}
        for row in rollouts:
            try:
                await self._advance(row)
            except BaobabstreamError as error:
                _log.warning("Rollout %s waits: %s.", row.name, error.detail)

    async def _advance(self, row: RolloutRow) -> None:
        now_s = self._clock()
        entry = self._state.rows[f"rollout/{row.name}"]
        engines = self._engines()
        move = next_move(
            row,
            engines,
            self._clocks.setdefault(row.name, RolloutClock()),
            self._load_limit - len(engines.acting),
            self._leases.in_force(entry.revision, now_s),
            self._last_work_s.get((row.model, row.from_version), float("-inf")),
            now_s,
        )
        if move is not None:
            outcome = await self._propose(move)
            if outcome.code is not ResultCode.OK:
                return
            detail = f"{row.name} {move.state.value} step {move.step} share {move.share:g}"
            self._timeline.emit(EventKind.ROLLOUT_STEP, revision=outcome.revision, detail=detail)
        await self._send_orders(row.name)

    async def _send_orders(self, name: str) -> None:
        row = self._state.row(f"rollout/{name}")
        if not isinstance(row, RolloutRow):
            return
        if row.state in _LOADING_STATES:
            await asyncio.gather(
                *(self._order(x, OrderAction.LOAD, row.model, row.to_version) for x in row.loading)
            )
        target = unload_target(row, self._engines())
        if target is not None:
            await self._order(target.identity, OrderAction.UNLOAD, row.model, row.from_version)

    async def _order(self, identity: str, action: OrderAction, model: str, version: str) -> None:
        engine = self._registry.record(identity)
        if engine is None:
            return
        # A restarted engine has forgotten its orders.
        key = identity, engine.incarnation, f"{model}@{version}", action
        if self._clock() < self._next_order_s.get(key, 0.0):
            return
        result = await self._orders.send(engine, action, model, version)
        accepted = result is OrderResult.ACCEPTED
        pause_s = REPEAT_ORDER_S if accepted else RETRY_ORDER_S
        self._next_order_s[key] = self._clock() + pause_s

    def _engines(self) -> Engines:
        acting = (name for row in self._state.rollouts() for name in row.loading)
        return Engines.of(self._registry.records(), acting)
