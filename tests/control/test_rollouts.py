"""Rollouts over engines that load slowly, with leaders that change during the rollout.

A rollout replaces an old version of a model by a new one: the engines load the new version, then
its share of the traffic rises in steps that each last the bake time. An engine with a version
loaded is a replica of that version. Engines load from the weight store, which limits the loads at
once. The tests run on the simulated time of ``looptime``.
"""

import asyncio
from random import Random

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer
from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan, Is, LessThan

from baobabstream.control import rollout_plan
from baobabstream.control.commands import (
    ConfigChange,
    ControlRollout,
    RolloutAction,
    SetVersionState,
)
from baobabstream.control.engine_orders import EngineOrders, OrderAction, OrderResult
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.rollout_driver import RolloutDriver
from baobabstream.control.rollout_plan import SESSION_IDLE_S, Engines
from baobabstream.control.state import ConfigState
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.timeline import TimelineWriter
from baobabstream.wire.rows import (
    BackendKind,
    BackendRecord,
    LoadedVersion,
    RolloutRow,
    RolloutState,
    VersionRow,
    VersionState,
)

OLD, NEW = LoadedVersion("m", "1"), LoadedVersion("m", "2")
TIMELINE = TimelineWriter(None, "h", "control", HybridClock())
# Shares of the traffic that the new version gets, one after another.
TRAFFIC_SHARES = (0.05, 0.5, 1.0)
BAKE_TIME_S = 30.0
# Time that an engine takes to load a version.
LOAD_DURATION_S = 20.0


class Fleet:
    """Simulated engines, and the rollout driver of the present leader.

    It stands in for ``EngineOrders`` and carries out the orders that the driver sends.

    Attributes
    ----------
    engines
        Announced record of each engine by identity.
    load_done_s
        For each engine that is loading, the time in seconds at which it has loaded.
    engines_that_never_load
        Identities of engines that accept a load order but never load.
    peak_loading_count
        Largest number of engines that were loading at once.
    all_replicas_loading
        Whether all engines with the old version were ever loading at once.
    unload_times_s
        Times in seconds of the unload orders.
    proposals
        Time in seconds, and state and share of the rollout, after each committed command.
    """

    def __init__(self, engine_count: int, max_concurrent_loads: int = 2) -> None:
        self.engines = {
            f"e{n}": BackendRecord(f"e{n}", 1, BackendKind.ENGINE, "http://x", "z", "", (OLD,))
            for n in range(engine_count)
        }
        self.load_done_s: dict[str, float] = {}
        self.engines_that_never_load: set[str] = set()
        self.peak_loading_count = 0
        self.all_replicas_loading = False
        self.unload_times_s: list[float] = []
        self.state = ConfigState()
        rollout = RolloutRow("r", "m", "1", "2", TRAFFIC_SHARES, BAKE_TIME_S)
        rows = (VersionRow("m", "1", 1.0), VersionRow("m", "2", 1.0), rollout)
        assert not self.state.apply(ConfigChange("c", "op", 0, rows)).detail
        self.max_concurrent_loads = max_concurrent_loads
        self.proposals: list[tuple[float, RolloutState, float]] = []
        self.elect_new_leader()

    @property
    def row(self) -> RolloutRow:
        """The present row of the rollout."""
        row = self.state.row("rollout/r")
        assert isinstance(row, RolloutRow)
        return row

    def elect_new_leader(self) -> None:
        """Replace the soft state of the leader, as a change of leader does."""
        now_s = asyncio.get_running_loop().time()
        clock = asyncio.get_running_loop().time
        # The time serves as the epoch, which differs for each leader. Announcements expire, and
        # entry leases end, after 3 s.
        self.registry = BackendRegistry(int(now_s) + 1, 3.0, now_s)
        leases = EntryLeases(3.0, now_s)
        self.driver = RolloutDriver(
            self.state,
            self.registry,
            leases,
            self,
            self._propose,
            self.max_concurrent_loads,
            TIMELINE,
            clock,
        )

    async def _propose(self, command):
        """Apply a command at once, in place of the replicated log."""
        outcome = self.state.apply(command)
        now_s = asyncio.get_running_loop().time()
        self.proposals.append((now_s, self.row.state, self.row.share))
        return outcome

    async def send(self, engine, action, model="", version="", adapter="", role=""):
        """Carry out an order as an engine would, in place of ``EngineOrders.send``."""
        now_s = asyncio.get_running_loop().time()
        target = LoadedVersion(model, version)
        record = self.engines.get(engine.identity)
        if record is None:
            return OrderResult.FAILED
        if action is OrderAction.UNLOAD:
            self.unload_times_s.append(now_s)
            remaining_versions = tuple(loaded for loaded in record.loaded if loaded != target)
            self.engines[engine.identity] = replace(record, loaded=remaining_versions)
        elif target not in record.loaded and engine.identity not in self.engines_that_never_load:
            self.load_done_s.setdefault(engine.identity, now_s + LOAD_DURATION_S)
        return OrderResult.ACCEPTED

    async def run(self, duration_s: float) -> None:
        """Run the engines and the driver for ``duration_s`` seconds of simulated time."""
        end_s = asyncio.get_running_loop().time() + duration_s
        while (now_s := asyncio.get_running_loop().time()) < end_s:
            for identity in [key for key, done_s in self.load_done_s.items() if done_s <= now_s]:
                del self.load_done_s[identity]
                record = self.engines[identity]
                self.engines[identity] = replace(record, loaded=(*record.loaded, NEW))
            for record in self.engines.values():
                self.registry.announce(record, now_s)
            self.registry.expire(now_s)
            await self.driver.tick()
            self.peak_loading_count = max(self.peak_loading_count, len(self.load_done_s))
            old_replicas = {
                engine.identity for engine in self.engines.values() if OLD in engine.loaded
            }
            self.all_replicas_loading |= bool(old_replicas) and old_replicas <= set(
                self.load_done_s
            )
            await asyncio.sleep(1.0)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(5))
async def test_rollout_completes_over_leader_changes(seed: int) -> None:
    """Guards against a rollout that stalls, overloads the weight store or skips a bake time.

    The leader changes twelve times at random.
    """
    random = Random(seed)
    fleet = Fleet(6)
    for _ in range(12):
        await fleet.run(random.uniform(5, 60))
        fleet.elect_new_leader()
    await fleet.run(300)
    assert_that(fleet.row.state, Is(RolloutState.COMPLETED))
    assert_that(fleet.peak_loading_count, Equals(2))
    assert_that(fleet.all_replicas_loading, Is(False))
    times_and_shares = [(at_s, share) for at_s, _, share in fleet.proposals if share > 0]
    # The second 1.0 is the completion, after which the traffic stays the same.
    assert_that([share for _, share in times_and_shares], Equals([0.05, 0.5, 1.0, 1.0]))
    share_intervals_s = [
        later_s - at_s
        for (at_s, _), (later_s, _) in zip(times_and_shares, times_and_shares[1:], strict=False)
    ]
    # The 1 ms allows for rounding.
    assert_that(min(share_intervals_s) + 0.001, GreaterThan(BAKE_TIME_S))


@pytest.mark.looptime
async def test_never_all_replicas_at_once(monkeypatch) -> None:
    """Guards against loads on all replicas of a version at once.

    The last part shows that the check fails without the rule.
    """
    one_engine, two_engines = Fleet(1, max_concurrent_loads=8), Fleet(2, max_concurrent_loads=8)
    await one_engine.run(60)
    await two_engines.run(300)
    assert_that((one_engine.load_done_s, one_engine.row.state), Equals(({}, RolloutState.LOADING)))
    assert_that(one_engine.row.reason, Contains("all replicas"))
    assert_that(
        (two_engines.all_replicas_loading, two_engines.row.state),
        Equals((False, RolloutState.COMPLETED)),
    )
    monkeypatch.setattr(Engines, "leaves_replicas_available", lambda *_: True)
    without_rule = Fleet(2, max_concurrent_loads=8)
    await without_rule.run(60)
    assert_that(without_rule.all_replicas_loading, Is(True))


@pytest.mark.looptime
async def test_pause_resume_and_withdrawal() -> None:
    """Guards against a rollout that advances while paused, and traffic left on a withdrawn one."""
    fleet = Fleet(3)
    await fleet.run(30)
    fleet.state.apply(ControlRollout("p", "op", "r", RolloutAction.PAUSE))
    await fleet.run(200)
    fleet.elect_new_leader()
    await fleet.run(200)
    assert_that((fleet.row.state, fleet.row.share), Equals((RolloutState.PAUSED, 0.0)))
    fleet.state.apply(ControlRollout("q", "op", "r", RolloutAction.RESUME))
    await fleet.run(60)
    assert_that(fleet.row.state, Is(RolloutState.RUNNING))
    fleet.state.apply(ControlRollout("w", "op", "r", RolloutAction.WITHDRAW))
    await fleet.run(300)
    assert_that((fleet.row.state, fleet.row.share), Equals((RolloutState.STOPPED, 0.0)))


@pytest.mark.looptime
async def test_broken_engine_is_given_up() -> None:
    """Guards against an engine that never loads and occupies the weight store's slot forever."""
    fleet = Fleet(4, max_concurrent_loads=1)
    fleet.engines_that_never_load = {"e0"}
    await fleet.run(rollout_plan.LOAD_TIMEOUT_S + 100)
    assert_that(sum(NEW in engine.loaded for engine in fleet.engines.values()), GreaterThan(1))


@pytest.mark.looptime
@pytest.mark.parametrize("state_at_return", [RolloutState.RUNNING, RolloutState.COMPLETED])
async def test_engine_that_restarts_gets_the_new_version(state_at_return: RolloutState) -> None:
    """Guards against replicas that never load the new version and lose the old one at the end.

    An engine fails while it loads and returns without the new version in a later state.
    """
    fleet = Fleet(4)
    await fleet.run(10)
    restarted_identity = next(iter(fleet.load_done_s))
    del fleet.load_done_s[restarted_identity]
    record = fleet.engines.pop(restarted_identity)
    for _ in range(200):
        if fleet.row.state is not state_at_return:
            await fleet.run(1)
    assert_that(fleet.row.state, Is(state_at_return))
    fleet.engines[restarted_identity] = replace(record, incarnation=2, loaded=(OLD,))
    await fleet.run(LOAD_DURATION_S + 5)
    assert_that(fleet.engines[restarted_identity].loaded, Equals((OLD, NEW)))
    assert_that(fleet.peak_loading_count, Equals(2))
    shares = [share for _, _, share in fleet.proposals]
    assert_that(shares, Equals(sorted(shares)))


@pytest.mark.looptime
async def test_restarted_engine_gets_its_order_at_once() -> None:
    """Guards against a load order that a restarted engine receives only at the next repetition."""
    fleet = Fleet(2)
    await fleet.run(6)
    restarted_identity = next(iter(fleet.load_done_s))
    del fleet.load_done_s[restarted_identity]
    fleet.engines[restarted_identity] = replace(fleet.engines[restarted_identity], incarnation=2)
    await fleet.run(2)
    assert_that(fleet.load_done_s, Contains(restarted_identity))


@pytest.mark.looptime
async def test_old_version_stays_while_sessions_use_it() -> None:
    """Guards against pinned sessions that lose their version when the rollout completes."""
    fleet = Fleet(3, max_concurrent_loads=4)
    # Longer than the loads and the three bake times.
    await fleet.run(250)
    assert_that(fleet.row.state, Is(RolloutState.COMPLETED))
    for _ in range(10):
        fleet.driver.record_version_use("m", "1")
        await fleet.run(SESSION_IDLE_S / 2)
    assert_that((fleet.unload_times_s, fleet.row.retired), Equals(([], False)))
    fleet.elect_new_leader()
    await fleet.run(SESSION_IDLE_S - 50)
    assert_that(fleet.unload_times_s, Equals([]))
    await fleet.run(200)
    assert_that((len(fleet.unload_times_s), fleet.row.retired), Equals((3, True)))
    withdraw_command = ControlRollout("w", "op", "r", RolloutAction.WITHDRAW)
    assert_that(fleet.state.apply(withdraw_command).detail, Contains("completed"))


@pytest.mark.looptime
async def test_bad_version_after_completion_returns_traffic() -> None:
    """Guards against a version that turns bad after its rollout and leaves none in service."""
    fleet = Fleet(3, max_concurrent_loads=4)
    # Longer than the loads and the three bake times.
    await fleet.run(250)
    fleet.state.apply(SetVersionState("m", "2", VersionState.STOPPED, "errors"))
    assert_that((fleet.row.state, fleet.row.share), Equals((RolloutState.STOPPED, 0.0)))


class ManualClock:
    """Clock that the test advances by setting ``now_s`` (seconds)."""

    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


async def test_orders_are_fenced() -> None:
    """Guards against an engine that carries out an order of a previous leader.

    An order with a lower fencing number (term, revision) than an earlier one must be refused. An
    engine that does not check the number gets orders only after the previous leader's lease.
    """
    # Lists, so that the handler below can change the highest fencing number.
    accepted_orders, highest_number = [], [(0, 0)]

    async def handle_order(request: web.Request) -> web.Response:
        """Accept an order as an engine does that honours fencing numbers."""
        order = await request.json()
        fencing_number = order["term"], order["revision"]
        if fencing_number < highest_number[0]:
            return web.json_response({"error": {"code": 3004, "name": "ORDER_FENCED"}}, status=409)
        highest_number[0] = fencing_number
        accepted_orders.append((order["action"], order["model"], order["version"]))
        return web.json_response({})

    app = web.Application()
    app.router.add_post("/v1/orders", handle_order)
    is_leader, clock = [True], ManualClock()
    async with TestServer(app) as server, ClientSession() as session:
        url = str(server.make_url("")).rstrip("/")
        engine = BackendRecord("e", 1, BackendKind.ENGINE, url, "z")
        engine_without_fencing = replace(engine, honours_fencing=False)

        def make_orders(term: int) -> EngineOrders:
            return EngineOrders(session, term, lambda: 7, lambda: is_leader[0], TIMELINE, clock)

        old_leader_orders, new_leader_orders = make_orders(1), make_orders(2)
        results = [
            await old_leader_orders.send(engine, OrderAction.LOAD, "m", "2"),
            await new_leader_orders.send(engine, OrderAction.LOAD, "m", "2"),
            await old_leader_orders.send(engine, OrderAction.UNLOAD, "m", "2"),
            await new_leader_orders.send(engine_without_fencing, OrderAction.LOAD, "m", "2"),
        ]
        # Just after the time in which the previous leader may still send orders: 1.5 s of its
        # lease, 2 s of the timeout of an order and 0.5 s in which its process may pause.
        clock.now_s = 4.1
        results.append(
            await new_leader_orders.send(engine_without_fencing, OrderAction.UNLOAD, "m", "1")
        )
        is_leader[0] = False
        results.append(
            await old_leader_orders.send(engine_without_fencing, OrderAction.LOAD, "m", "1")
        )
        unreachable_engine = replace(engine, url="http://127.0.0.1:9")
        is_leader[0] = True
        results.append(await new_leader_orders.send(unreachable_engine, OrderAction.LOAD, "m", "1"))
    accepted, fenced = OrderResult.ACCEPTED, OrderResult.FENCED
    expected = [accepted, accepted, fenced, OrderResult.NOT_YET, accepted, fenced]
    assert_that(results, Equals([*expected, OrderResult.FAILED]))
    assert_that(len(accepted_orders), LessThan(4))
