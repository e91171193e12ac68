"""Rollouts over engines that load slowly, with leaders that change halfway."""

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
from baobabstream.telemetry.timeline import TimeLine
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
TIMELINE = TimeLine(None, "h", "control", HybridClock())
STEPS = (0.05, 0.5, 1.0)
STEP_S = 30.0
LOAD_S = 20.0


class Fleet:
    """Engines that take orders and announce themselves to the present leader."""

    def __init__(self, engines: int, loads: int = 2) -> None:
        self.engines = {
            f"e{n}": BackendRecord(f"e{n}", 1, BackendKind.ENGINE, "http://x", "z", "", (OLD,))
            for n in range(engines)
        }
        self.loading: dict[str, float] = {}
        self.broken: set[str] = set()
        self.most_loading = 0
        self.all_busy = False
        self.unloads: list[float] = []
        self.state = ConfigState()
        rollout = RolloutRow("r", "m", "1", "2", STEPS, STEP_S)
        rows = (VersionRow("m", "1", 1.0), VersionRow("m", "2", 1.0), rollout)
        assert not self.state.apply(ConfigChange("c", "op", 0, rows)).detail
        self.loads = loads
        self.history: list[tuple[float, RolloutState, float]] = []
        self.elect()

    @property
    def row(self) -> RolloutRow:
        row = self.state.row("rollout/r")
        assert isinstance(row, RolloutRow)
        return row

    def elect(self) -> None:
        now_s = asyncio.get_running_loop().time()
        clock = asyncio.get_running_loop().time
        self.registry = BackendRegistry(int(now_s) + 1, 3.0, now_s)
        leases = EntryLeases(3.0, now_s)
        self.driver = RolloutDriver(
            self.state, self.registry, leases, self, self._propose, self.loads, TIMELINE, clock
        )

    async def _propose(self, command):
        outcome = self.state.apply(command)
        now_s = asyncio.get_running_loop().time()
        self.history.append((now_s, self.row.state, self.row.share))
        return outcome

    async def send(self, engine, action, model="", version="", adapter="", role=""):
        now_s = asyncio.get_running_loop().time()
        target = LoadedVersion(model, version)
        record = self.engines.get(engine.identity)
        if record is None:
            return OrderResult.FAILED
        if action is OrderAction.UNLOAD:
            self.unloads.append(now_s)
            left = tuple(item for item in record.loaded if item != target)
            self.engines[engine.identity] = replace(record, loaded=left)
        elif target not in record.loaded and engine.identity not in self.broken:
            self.loading.setdefault(engine.identity, now_s + LOAD_S)
        return OrderResult.ACCEPTED

    async def run(self, seconds: float) -> None:
        end_s = asyncio.get_running_loop().time() + seconds
        while (now_s := asyncio.get_running_loop().time()) < end_s:
            for name in [x for x, done_s in self.loading.items() if done_s <= now_s]:
                del self.loading[name]
                record = self.engines[name]
                self.engines[name] = replace(record, loaded=(*record.loaded, NEW))
            for record in self.engines.values():
                self.registry.announce(record, now_s)
            self.registry.expire(now_s)
            await self.driver.tick()
            self.most_loading = max(self.most_loading, len(self.loading))
            replicas = {x.identity for x in self.engines.values() if OLD in x.loaded}
            self.all_busy |= bool(replicas) and replicas <= set(self.loading)
            await asyncio.sleep(1.0)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", range(5))
async def test_rollout_completes_over_leader_changes(seed: int) -> None:
    """Guards against a rollout that stalls, overloads the weight store or skips a bake time."""
    random = Random(seed)
    fleet = Fleet(6)
    for _ in range(12):
        await fleet.run(random.uniform(5, 60))
        fleet.elect()
    await fleet.run(300)
    assert_that(fleet.row.state, Is(RolloutState.COMPLETED))
    assert_that(fleet.most_loading, Equals(2))
    assert_that(fleet.all_busy, Is(False))
    shares = [(at_s, share) for at_s, _, share in fleet.history if share > 0]
    assert_that([share for _, share in shares], Equals([0.05, 0.5, 1.0, 1.0]))
    gaps = [later - at for (at, _), (later, _) in zip(shares, shares[1:], strict=False)]
    assert_that(min(gaps) + 0.001, GreaterThan(STEP_S))


@pytest.mark.looptime
async def test_never_all_replicas_at_once(monkeypatch) -> None:
    """Guards against a load on every replica of a version; the check fails without the rule."""
    single, pair = Fleet(1, loads=8), Fleet(2, loads=8)
    await single.run(60)
    await pair.run(300)
    assert_that((single.loading, single.row.state), Equals(({}, RolloutState.LOADING)))
    assert_that(single.row.reason, Contains("all replicas"))
    assert_that((pair.all_busy, pair.row.state), Equals((False, RolloutState.COMPLETED)))
    monkeypatch.setattr(Engines, "leaves_replicas_available", lambda *_: True)
    without_rule = Fleet(2, loads=8)
    await without_rule.run(60)
    assert_that(without_rule.all_busy, Is(True))


@pytest.mark.looptime
async def test_pause_resume_and_withdrawal() -> None:
    """Guards against a rollout that goes on while paused, and traffic left on a withdrawn one."""
    fleet = Fleet(3)
    await fleet.run(30)
    fleet.state.apply(ControlRollout("p", "op", "r", RolloutAction.PAUSE))
    await fleet.run(200)
    fleet.elect()
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
    """Guards against an engine that never loads and holds the weight store's slot for good."""
    fleet = Fleet(4, loads=1)
    fleet.broken = {"e0"}
    await fleet.run(rollout_plan.LOAD_TIMEOUT_S + 100)
    assert_that(sum(NEW in x.loaded for x in fleet.engines.values()), GreaterThan(1))


@pytest.mark.looptime
@pytest.mark.parametrize("returns_in", [RolloutState.RUNNING, RolloutState.COMPLETED])
async def test_engine_that_restarts_gets_the_new_version(returns_in: RolloutState) -> None:
    """Guards against replicas that never load the new version and lose the old one at the end."""
    fleet = Fleet(4)
    await fleet.run(10)
    lost = next(iter(fleet.loading))
    del fleet.loading[lost]
    record = fleet.engines.pop(lost)
    for _ in range(200):
        if fleet.row.state is not returns_in:
            await fleet.run(1)
    assert_that(fleet.row.state, Is(returns_in))
    fleet.engines[lost] = replace(record, incarnation=2, loaded=(OLD,))
    await fleet.run(LOAD_S + 5)
    assert_that(fleet.engines[lost].loaded, Equals((OLD, NEW)))
    assert_that(fleet.most_loading, Equals(2))
    shares = [share for _, _, share in fleet.history]
    assert_that(shares, Equals(sorted(shares)))


@pytest.mark.looptime
async def test_restarted_engine_gets_its_order_at_once() -> None:
    """Guards against a load that waits for the repeat of an order that a restart has lost."""
    fleet = Fleet(2)
    await fleet.run(6)
    lost = next(iter(fleet.loading))
    del fleet.loading[lost]
    fleet.engines[lost] = replace(fleet.engines[lost], incarnation=2)
    await fleet.run(2)
    assert_that(fleet.loading, Contains(lost))


@pytest.mark.looptime
async def test_old_version_stays_while_sessions_use_it() -> None:
    """Guards against pinned sessions that lose their version on completion."""
    fleet = Fleet(3, loads=4)
    await fleet.run(250)
    assert_that(fleet.row.state, Is(RolloutState.COMPLETED))
    for _ in range(10):
        fleet.driver.record_version_use("m", "1")
        await fleet.run(SESSION_IDLE_S / 2)
    assert_that((fleet.unloads, fleet.row.retired), Equals(([], False)))
    fleet.elect()
    await fleet.run(SESSION_IDLE_S - 50)
    assert_that(fleet.unloads, Equals([]))
    await fleet.run(200)
    assert_that((len(fleet.unloads), fleet.row.retired), Equals((3, True)))
    withdraw = ControlRollout("w", "op", "r", RolloutAction.WITHDRAW)
    assert_that(fleet.state.apply(withdraw).detail, Contains("completed"))


@pytest.mark.looptime
async def test_bad_version_after_completion_returns_traffic() -> None:
    """Guards against a version that turns bad after its rollout and leaves no version to use."""
    fleet = Fleet(3, loads=4)
    await fleet.run(250)
    fleet.state.apply(SetVersionState("m", "2", VersionState.STOPPED, "errors"))
    assert_that((fleet.row.state, fleet.row.share), Equals((RolloutState.STOPPED, 0.0)))


class Clock:
    now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


async def test_orders_are_fenced() -> None:
    """Guards against an order of an old leader that an engine still carries out."""
    taken, highest = [], [(0, 0)]

    async def take(request: web.Request) -> web.Response:
        order = await request.json()
        number = order["term"], order["revision"]
        if number < highest[0]:
            return web.json_response({"error": {"code": 3004, "name": "ORDER_FENCED"}}, status=409)
        highest[0] = number
        taken.append((order["action"], order["model"], order["version"]))
        return web.json_response({})

    app = web.Application()
    app.router.add_post("/v1/orders", take)
    leads, clock = [True], Clock()
    async with TestServer(app) as server, ClientSession() as session:
        url = str(server.make_url("")).rstrip("/")
        engine = BackendRecord("e", 1, BackendKind.ENGINE, url, "z")
        careless = replace(engine, honours_fencing=False)

        def orders_of(term: int) -> EngineOrders:
            return EngineOrders(session, term, lambda: 7, lambda: leads[0], TIMELINE, clock)

        old, new = orders_of(1), orders_of(2)
        results = [
            await old.send(engine, OrderAction.LOAD, "m", "2"),
            await new.send(engine, OrderAction.LOAD, "m", "2"),
            await old.send(engine, OrderAction.UNLOAD, "m", "2"),
            await new.send(careless, OrderAction.LOAD, "m", "2"),
        ]
        clock.now_s = 4.1
        results.append(await new.send(careless, OrderAction.UNLOAD, "m", "1"))
        leads[0] = False
        results.append(await old.send(careless, OrderAction.LOAD, "m", "1"))
        gone = replace(engine, url="http://127.0.0.1:9")
        leads[0] = True
        results.append(await new.send(gone, OrderAction.LOAD, "m", "1"))
    accepted, fenced = OrderResult.ACCEPTED, OrderResult.FENCED
    expected = [accepted, accepted, fenced, OrderResult.NOT_YET, accepted, fenced]
    assert_that(results, Equals([*expected, OrderResult.FAILED]))
    assert_that(len(taken), LessThan(4))
