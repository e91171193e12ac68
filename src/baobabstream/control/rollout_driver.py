"""Drives the rollouts on the leader: orders to engines and steps of the traffic share.

A rollout replaces one version of a model by another. The engines first load the new version (state
LOADING), then its share of the traffic rises in steps (RUNNING) up to all traffic (COMPLETED), and
finally, when the old version is no longer used, or was kept for the longest time allowed, it is
retired: they unload it. A step is an index into the traffic shares. The leader is the control host
that the others have elected. An engine is a backend server that runs models; it loads their weights
from the weight store. Its incarnation rises with each restart.

The configuration is stored as rows with the revision of their last change. A revision is in force
once every entry process (a process that receives the callers' requests) with a lease has applied
it; without a lease it may not act on its configuration.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from baobabstream.control.commands import Command
from baobabstream.control.engine_orders import EngineOrders, OrderAction, OrderResult
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.outcome import Outcome
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.rollout_plan import (
    Engines,
    RolloutTimers,
    next_command,
    next_engine_to_unload,
)
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.rows import RolloutRow, RolloutState

__all__ = ["RolloutDriver"]

# Interval at which the rollouts are checked.
TICK_INTERVAL_S = 0.25
# An accepted order is repeated, since the engine may have lost it in a restart.
ORDER_REPEAT_INTERVAL_S = 10.0
# Time after which an order that was not accepted is sent again.
ORDER_RETRY_INTERVAL_S = 1.0
# States in which engines are ordered to load the new version. Later states than LOADING are
# included for engines that join or restart during the rollout.
_LOADING_STATES = (RolloutState.LOADING, RolloutState.RUNNING, RolloutState.COMPLETED)

_log = get_logger("control")


class RolloutDriver:
    """Advances the rollouts and sends the orders that they need.

    Each step is committed in the row of its rollout, so that any new leader can continue. The
    engines that are to load a version are recorded in the row before they get the order. A new
    leader repeats the orders and counts these loads against the limit of the weight store.

    Parameters
    ----------
    state
        State built by the replicated log.
    registry
        Backend servers that have announced themselves to this leader.
    leases
        Leases of the entry processes.
    orders
        Sends orders to engines.
    propose
        Commits a command to the replicated log.
    max_concurrent_loads
        Largest number of engines that may load weights from the weight store at once.
    timeline
        Event timeline of this host.
    clock
        Returns a monotonic time in seconds.
    """

    def __init__(
        self,
        state: ConfigState,
        registry: BackendRegistry,
        leases: EntryLeases,
        orders: EngineOrders,
        propose: Callable[[Command], Awaitable[Outcome]],
        max_concurrent_loads: int,
        timeline: TimelineWriter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._state = state
        self._registry = registry
        self._leases = leases
        self._orders = orders
        self._propose = propose
        self._max_concurrent_loads = max_concurrent_loads
        self._timeline = timeline
        self._clock = clock
        self._timers_by_rollout: dict[str, RolloutTimers] = {}
        # Time from which an order is due again, by engine identity, its incarnation, model@version
        # and action.
        self._next_order_s: dict[tuple[str, int, str, OrderAction], float] = {}
        # Time at which results were last reported, by model and version.
        self._last_use_s: dict[tuple[str, str], float] = {}

    def record_version_use(self, model: str, version: str) -> None:
        """Record that an entry process has just reported results of a model version.

        An old version that is still in use stays loaded after its rollout is completed.
        """
        self._last_use_s[model, version] = self._clock()

    async def run(self) -> None:
        """Drive all rollouts until cancelled."""
        while True:
            await self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def tick(self) -> None:
        """Advance each rollout by at most one command and send the orders that are due.

        Do nothing until all backend servers have had time to announce themselves to this leader.
        Drop the timers of rollouts that no longer exist.
        """
        if not self._registry.is_warm(self._clock()):
            return
        rollouts = self._state.rollouts()
        rollout_names = {row.name for row in rollouts}
        self._timers_by_rollout = {
            name: timers
            for name, timers in self._timers_by_rollout.items()
            if name in rollout_names
        }
        for row in rollouts:
            try:
                await self._advance(row)
            except BaobabstreamError as error:
                _log.warning("Could not advance rollout %s: %s.", row.name, error.detail)

    async def _advance(self, row: RolloutRow) -> None:
        """Commit the next command of a rollout, if there is one, and send its orders.

        No orders are sent if the command was refused, for example since the rollout has changed.
        """
        now_s = self._clock()
        row_entry = self._state.rows[f"rollout/{row.name}"]
        engines = self._present_engines()
        command = next_command(
            row,
            engines,
            self._timers_by_rollout.setdefault(row.name, RolloutTimers()),
            # Number of further loads that the limit of the weight store allows.
            self._max_concurrent_loads - len(engines.loading_identities),
            self._leases.in_force(row_entry.revision, now_s),
            # A version whose results were never reported to this leader counts as never used.
            self._last_use_s.get((row.model, row.from_version), float("-inf")),
            now_s,
        )
        if command is not None:
            outcome = await self._propose(command)
            if outcome.code is not ResultCode.OK:
                return
            # ``share`` is the new version's fraction of the traffic (0 to 1).
            detail = f"{row.name} {command.state.value} step {command.step} share {command.share:g}"
            self._timeline.emit(EventKind.ROLLOUT_STEP, revision=outcome.revision, detail=detail)
        await self._send_orders(row.name)

    async def _send_orders(self, rollout_name: str) -> None:
        """Send the load orders of a rollout and the next unload order of a retired version.

        A rollout that has been deleted in the meantime needs no orders.
        """
        row = self._state.row(f"rollout/{rollout_name}")
        if not isinstance(row, RolloutRow):
            return
        if row.state in _LOADING_STATES:
            await asyncio.gather(
                *(
                    self._send_order_if_due(identity, OrderAction.LOAD, row.model, row.to_version)
                    for identity in row.loading
                )
            )
        engine = next_engine_to_unload(row, self._present_engines())
        if engine is not None:
            await self._send_order_if_due(
                engine.identity, OrderAction.UNLOAD, row.model, row.from_version
            )

    async def _send_order_if_due(
        self, identity: str, action: OrderAction, model: str, version: str
    ) -> None:
        """Send an order to an engine unless it was sent within the repeat or retry interval.

        An engine that is no longer registered (``engine`` is None) gets no order.
        """
        engine = self._registry.record(identity)
        if engine is None:
            return
        # The incarnation is part of the key since a restarted engine has lost its orders.
        order_key = identity, engine.incarnation, f"{model}@{version}", action
        # An order that was never sent is due at once, since the clock is never below 0.
        if self._clock() < self._next_order_s.get(order_key, 0.0):
            return
        result = await self._orders.send(engine, action, model, version)
        was_accepted = result is OrderResult.ACCEPTED
        interval_s = ORDER_REPEAT_INTERVAL_S if was_accepted else ORDER_RETRY_INTERVAL_S
        self._next_order_s[order_key] = self._clock() + interval_s

    def _present_engines(self) -> Engines:
        """Return the announced engines and those that any rollout has ordered to load."""
        loading_identities = (
            identity for row in self._state.rollouts() for identity in row.loading
        )
        return Engines.from_records(self._registry.records(), loading_identities)
