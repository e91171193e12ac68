"""Runs a rollout on real daemons under load and checks pacing, shares and callers' answers."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from aiohttp import ClientError, ClientTimeout

from baobabstream.emulator.answers import answer_text
from system.callers import Callers, wall_ms
from system.cluster import OPERATOR_KEY, Cluster, EngineSpec, free_ports, wait_for
from system.history import (
    CallerRecord,
    Violation,
    check_answer_texts,
    check_billed_once,
    check_refused_not_run,
    check_session_versions,
)
from system.records import fetch_billed_ids, leader_knows_hosts, read_engine_runs
from system.rows import account_row, class_row, version_row

__all__ = [
    "API_KEY",
    "Interruption",
    "RolloutCluster",
    "RolloutRun",
    "ANSWER_TOKENS",
    "WEIGHT_STORE_LOADS",
    "faults_of",
    "reached",
    "rollout_row",
    "run_rollout",
    "start_rollout",
]

API_KEY = "api-key-of-the-desk"
ANSWER_TOKENS = 8
SAMPLE_S = 0.05
# The entries act on a row before its state is sampled over HTTP.
SAMPLE_LAG_MS = 400
OLD, NEW = ["small", "1"], ["small", "2"]
STEPS = (0.2, 0.6, 1.0)
STEP_S = 1.0
LOAD_S = 1.0
ENGINES = 4
WEIGHT_STORE_LOADS = 2
# Two control hosts can be lost in turn; each costs an election, a lease and an expiry.
ROLLOUT_LIMIT_S = 60.0
LEDGER_LIMIT_S = 15.0


@dataclass
class RolloutCluster(Cluster):
    """A cluster with engines of one model, and a rating service if asked for."""

    weight_store_loads: int = WEIGHT_STORE_LOADS
    rated: bool = False
    rating_port: int = 0

    async def start(self) -> None:
        """Start everything, the rating service included."""
        if self.rated:
            self.rating_port = free_ports(1, self.ip)[0]
            self.entry_settings += (
                f'rating_url = "http://{self.ip}:{self.rating_port}"\nrating_sample = 1.0\n'
            )
        await super().start()
        if self.rated:
            await self.launch("rating")

    async def orders_of(self, engine: str) -> dict[str, Any] | None:
        """Return what an engine tells of its orders, or None if it does not answer."""
        url = f"http://{self.ip}:{self.ports[engine]}/v1/orders"
        with suppress(ClientError, TimeoutError, OSError):
            async with self.session.get(url, timeout=ClientTimeout(total=1)) as answer:
                return await answer.json()
        return None

    async def unload_new(self, engine: str, number: tuple[int, int]) -> int:
        """Order an engine under a fencing number to unload the new version; return the status."""
        url = f"http://{self.ip}:{self.ports[engine]}/v1/orders"
        order = {"term": number[0], "revision": number[1], "action": "unload"}
        order |= {"model": NEW[0], "version": NEW[1]}
        async with self.session.post(url, json=order) as answer:
            return answer.status

    async def operate(self, *arguments: str) -> None:
        """Run an operator command of the command line."""
        environment = os.environ | {
            "BAOBABSTREAM_CONTROL_URLS": " ".join(map(self.admin_url, self.controls)),
            "BAOBABSTREAM_OPERATOR_KEY": OPERATOR_KEY,
        }
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "baobabstream.cli.app", *arguments),
            env=environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await asyncio.wait_for(process.communicate(), 20)
        assert process.returncode == 0, output.decode()

    async def _write_settings(self, host: str) -> None:
        await super()._write_settings(host)
        if host in self.controls:
            path = self.folder / f"{host}.toml"
            path.write_text(f"weight_store_loads = {self.weight_store_loads}\n" + path.read_text())

    def _arguments(self, name: str) -> list[str]:
        if name == "rating":
            return ["emulate", "rating", "--ip", self.ip, "--port", str(self.rating_port)]
        return super()._arguments(name)


async def rollout_row(cluster: Cluster) -> dict[str, Any] | None:
    """Return the row of the rollout, or None while there is no leader."""
    code, rows = await cluster.admin("GET", "/rollouts")
    return rows[0] if code == 200 and rows else None


@dataclass
class RolloutRun:
    """What was seen of one rollout.

    Attributes
    ----------
    states
        Distinct (state, step, share) of the row in the order in which they were seen, each with
        the wall time in milliseconds.
    most_loading
        Most engines that loaded the new version at one time.
    old_orders
        Engines that took an order with a lower fencing number after a higher one.
    deposed_statuses
        HTTP statuses that engines gave to an order under the first leader's term at the end.
    least_spared
        Fewest engines with the old version that loaded nothing at one time.
    """

    states: list[tuple[int, str, int, float]] = field(default_factory=list)
    most_loading: int = 0
    least_spared: int = ENGINES
    records: list[CallerRecord] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    row: dict[str, Any] = field(default_factory=dict)
    loaded: dict[str, bool] = field(default_factory=dict)
    old_orders: list[str] = field(default_factory=list)
    deposed_statuses: set[int] = field(default_factory=set)
    lasted_s: float = 0.0

    @property
    def shares(self) -> list[float]:
        """Shares of traffic in the order in which they were seen."""
        shares = [share for _, _, _, share in self.states]
        return [x for n, x in enumerate(shares) if n == 0 or x != shares[n - 1]]

    def observed_share(self, share: float) -> float:
        """Return the new version's part of the requests without session at a nominal share."""
        ends = [at_ms for at_ms, *_ in self.states[1:]] + [self.records[-1].ended_ms]
        spans = [
            (state[0], end_ms - SAMPLE_LAG_MS)
            for state, end_ms in zip(self.states, ends, strict=True)
            if state[3] == share
        ]
        versions = [
            record.version
            for record in self.records
            for from_ms, to_ms in spans
            if not record.session and record.finished and from_ms < record.started_ms < to_ms
        ]
        return versions.count(NEW[1]) / max(len(versions), 1)

    @property
    def cut(self) -> list[CallerRecord]:
        """Requests that neither finished nor were refused as not run."""
        return [x for x in self.records if not x.finished and x.run_state != "no"]

    async def watch_row(self, cluster: Cluster) -> None:
        """Follow the row until cancelled."""
        while True:
            row = await rollout_row(cluster)
            if row is not None:
                state = row["state"], row["step"], row["share"]
                if not self.states or self.states[-1][1:] != state:
                    self.states.append((wall_ms(), *state))
            await asyncio.sleep(SAMPLE_S)

    async def watch_engines(self, cluster: RolloutCluster) -> None:
        """Follow the loads of the engines until cancelled."""
        names = [engine.identity for engine in cluster.engines]
        while True:
            found = [x for x in await asyncio.gather(*map(cluster.orders_of, names)) if x]
            loading = [x for x in found if x["loading"]]
            spared = [x for x in found if OLD in x["loaded"] and not x["loading"]]
            self.most_loading = max(self.most_loading, len(loading))
            if loading:
                self.least_spared = min(self.least_spared, len(spared))
            await asyncio.sleep(SAMPLE_S)


Interruption = Callable[[RolloutCluster, Random], Awaitable[None]]


async def run_rollout(
    folder: Path,
    interrupt: Interruption,
    seed: int,
    final_state: str = "completed",
    engine_options: tuple[str, ...] = (),
) -> RolloutRun:
    """Start a rollout by the command line under load, interrupt it, and check how it ends.

    Parameters
    ----------
    folder
        Folder for the cluster's files.
    interrupt
        Interrupts the rollout; called once it has started.
    seed
        Seed of the callers and of the interruption.
    final_state
        State in which the rollout must end.
    engine_options
        Further options of the engines.
    """
    random, run = Random(seed), RolloutRun()
    options = ("--load-s", str(LOAD_S), *engine_options)
    names = [f"engine-{n + 1}" for n in range(ENGINES)]
    cluster = RolloutCluster(
        folder, engines=tuple(EngineSpec(x, ("small@1",), options) for x in names)
    )
    loop = asyncio.get_running_loop()
    try:
        await cluster.start()
        account = account_row("desk", API_KEY, "small")
        await cluster.put(
            class_row(), version_row("small", "1"), version_row("small", "2"), account
        )
        await wait_for(lambda: leader_knows_hosts(cluster, 2, ENGINES), 15)
        callers = Callers(cluster, random)
        callers.start(4, API_KEY, "desk", ANSWER_TOKENS)
        callers.start_sessions(2, API_KEY, "desk", ANSWER_TOKENS)
        watchers = [
            asyncio.create_task(run.watch_row(cluster)),
            asyncio.create_task(run.watch_engines(cluster)),
        ]
        await wait_for(lambda: _sessions_started(callers, 2), 10)
        started_s = loop.time()
        await start_rollout(cluster)
        await interrupt(cluster, random)
        await wait_for(lambda: reached(cluster, final_state), ROLLOUT_LIMIT_S)
        run.lasted_s = loop.time() - started_s
        if final_state == "completed":
            await wait_for(lambda: _all_loaded(cluster), ROLLOUT_LIMIT_S)
        await asyncio.sleep(1.0)
        run.records = await callers.stop()
        run.row = await rollout_row(cluster) or {}
        taken: dict[str, list[tuple[int, int]]] = {}
        for name in names:
            orders = await cluster.orders_of(name)
            run.loaded[name] = orders is not None and NEW in orders["loaded"]
            numbers = [(x["term"], x["revision"]) for x in (orders or {}).get("accepted", ())]
            taken[name] = numbers
            if numbers != sorted(numbers):
                run.old_orders.append(f"{name} took {numbers}")
        first = min(number for numbers in taken.values() for number in numbers)
        for name, numbers in taken.items():
            if numbers and numbers[-1][0] > first[0]:
                run.deposed_statuses.add(await cluster.unload_new(name, first))
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        # A control host that was down gets the bills of that time by exchange.
        await wait_for(lambda: _ledgers_equal(cluster), LEDGER_LIMIT_S)
        billed = await fetch_billed_ids(cluster)
    finally:
        await cluster.stop()
    run.violations += check_session_versions(run.records)
    run.violations += check_billed_once(run.records, billed)
    run.violations += check_refused_not_run(run.records, read_engine_runs(folder))
    run.violations += check_answer_texts(run.records, _expected_text)
    return run


def faults_of(run: RolloutRun, final_state: str) -> list[str]:
    """Return what went wrong in a rollout, one sentence each."""
    completed = final_state == "completed"
    checks = {
        f"violations {run.violations[:3]}": not run.violations,
        f"{len(run.cut)} requests cut {run.cut[:1]}": not run.cut,
        f"the row is {run.row}": run.row["state"] == final_state
        and run.row["share"] == (1.0 if completed else 0.0),
        f"shares {run.shares}": not completed or run.shares == [0.0, *STEPS],
        f"{run.most_loading} engines load at once": run.most_loading <= WEIGHT_STORE_LOADS,
        "all replicas of the old version load": run.least_spared > 0,
        f"loaded {run.loaded}": not completed or all(run.loaded.values()),
        f"old orders {run.old_orders}": not run.old_orders,
        "no session began on the old version": any(
            record.session and record.version == OLD[1] for record in run.records
        ),
        "the new version got work before its share": run.observed_share(0.0) == 0.0
        or not completed,
    }
    return [fault for fault, good in checks.items() if not good]


async def start_rollout(cluster: RolloutCluster, step_s: float = STEP_S) -> None:
    """Start the rollout of the new version by the command line."""
    steps = [part for step in STEPS for part in ("--step", str(step))]
    await cluster.operate(
        *("rollout", "start", "summer", "--model", "small", "--from-version", OLD[1]),
        *("--to-version", NEW[1], "--step-s", str(step_s), *steps),
    )


async def reached(cluster: Cluster, state: str, share: float | None = None) -> bool:
    """Return whether the rollout is in a state, and at least at a share if one is given."""
    row = await rollout_row(cluster)
    return row is not None and row["state"] == state and row["share"] >= (share or 0.0)


async def _ledgers_equal(cluster: Cluster) -> bool:
    code, document = await cluster.admin("GET", "/ready")
    return code == 200 and document["checks"]["ledgers_equal"]


async def _all_loaded(cluster: RolloutCluster) -> bool:
    orders = [await cluster.orders_of(engine.identity) for engine in cluster.engines]
    return all(order is not None and NEW in order["loaded"] for order in orders)


async def _sessions_started(callers: Callers, count: int) -> bool:
    return len({x.session for x in callers.records if x.session and x.finished}) >= count


def _expected_text(record: CallerRecord) -> str:
    return answer_text([{"role": "user", "content": record.prompt}], ANSWER_TOKENS)
