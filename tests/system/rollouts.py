"""Runs a rollout on real daemons under load and checks pacing, shares and callers' answers.

A rollout moves the traffic of one model from an old to a new version in steps. The control leader
sends load and unload orders to the engines. Each order carries a fencing number, (term,
revision), so that engines can refuse the orders of a deposed leader.
"""

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
    "failed_checks",
    "rollout_has_reached",
    "fetch_rollout_row",
    "run_rollout",
    "start_rollout",
]

API_KEY = "api-key-of-the-desk"
# Requested length of the answers.
ANSWER_TOKENS = 8
SAMPLE_INTERVAL_S = 0.05
# The entry hosts may act on a new row this long before its state is sampled over HTTP.
MAX_SAMPLE_LAG_MS = 400
# Old and new model version, as engines report them.
OLD_VERSION, NEW_VERSION = ["small", "1"], ["small", "2"]
# Share of the traffic that the new version gets in each step.
STEP_SHARES = (0.2, 0.6, 1.0)
STEP_DURATION_S = 1.0
MODEL_LOAD_S = 1.0
ENGINE_COUNT = 4
# Number of engines that may load a version at the same time.
WEIGHT_STORE_LOADS = 2
# Two control hosts can be lost one after the other; each loss costs an election, a lease and an
# expiry.
ROLLOUT_TIMEOUT_S = 60.0
LEDGER_TIMEOUT_S = 15.0


@dataclass
class RolloutCluster(Cluster):
    """A cluster with engines of one model.

    Attributes
    ----------
    weight_store_loads
        Number of engines that may load a version at the same time.
    rated
        Whether a rating service runs, which rates every answer.
    rating_port
        Port of the rating service.
    """

    weight_store_loads: int = WEIGHT_STORE_LOADS
    rated: bool = False
    rating_port: int = 0

    async def start(self) -> None:
        """Start all processes, the rating service included."""
        if self.rated:
            self.rating_port = free_ports(1, self.ip)[0]
            self.entry_settings += (
                f'rating_url = "http://{self.ip}:{self.rating_port}"\nrating_sample = 1.0\n'
            )
        await super().start()
        if self.rated:
            await self.launch("rating")

    async def fetch_orders(self, engine: str) -> dict[str, Any] | None:
        """Return an engine's versions and accepted orders, or None if it does not answer."""
        url = f"http://{self.ip}:{self.ports[engine]}/v1/orders"
        with suppress(ClientError, TimeoutError, OSError):
            async with self.session.get(url, timeout=ClientTimeout(total=1)) as answer:
                return await answer.json()
        return None

    async def order_unload(self, engine: str, fencing_number: tuple[int, int]) -> int:
        """Send an engine an order to unload the new version and return the HTTP status.

        ``fencing_number`` is (term, revision).
        """
        url = f"http://{self.ip}:{self.ports[engine]}/v1/orders"
        order = {"term": fencing_number[0], "revision": fencing_number[1], "action": "unload"}
        order |= {"model": NEW_VERSION[0], "version": NEW_VERSION[1]}
        async with self.session.post(url, json=order) as answer:
            return answer.status

    async def run_operator_command(self, *arguments: str) -> None:
        """Run a command of the command line as an operator and check that it succeeds."""
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


async def fetch_rollout_row(cluster: Cluster) -> dict[str, Any] | None:
    """Return the configuration row of the rollout, or None if no leader or rollout exists."""
    status, rows = await cluster.admin("GET", "/rollouts")
    return rows[0] if status == 200 and rows else None


@dataclass
class RolloutRun:
    """Observations of one rollout.

    Attributes
    ----------
    states
        Successive (wall time in milliseconds, state, step, share) of the row of the rollout.
    max_loading
        Largest number of engines that loaded the new version at the same time.
    min_serving_old
        Smallest number of engines with the old version that loaded nothing, while others loaded.
    records
        Chat requests of the callers.
    violations
        Requirements that the history of requests breaks.
    row
        Row of the rollout at the end.
    loaded
        Whether each engine has loaded the new version at the end.
    stale_orders
        A sentence for each engine that accepted an order with a lower fencing number after a higher
        one.
    deposed_statuses
        HTTP statuses of orders under the first leader's fencing number, sent at the end to the
        engines that had accepted an order of a later leader.
    duration_s
        Time in seconds from the start of the rollout to its final state.
    """

    states: list[tuple[int, str, int, float]] = field(default_factory=list)
    max_loading: int = 0
    min_serving_old: int = ENGINE_COUNT
    records: list[CallerRecord] = field(default_factory=list)
    violations: list[Violation] = field(default_factory=list)
    row: dict[str, Any] = field(default_factory=dict)
    loaded: dict[str, bool] = field(default_factory=dict)
    stale_orders: list[str] = field(default_factory=list)
    deposed_statuses: set[int] = field(default_factory=set)
    duration_s: float = 0.0

    @property
    def shares(self) -> list[float]:
        """Successive shares of traffic that the row gave to the new version."""
        shares = [share for _, _, _, share in self.states]
        return [share for n, share in enumerate(shares) if n == 0 or share != shares[n - 1]]

    def observed_share(self, share: float) -> float:
        """Return the share of requests that the new version got at a share given by the row.

        Only finished requests without a session count, since a session keeps its version.
        """
        end_times_ms = [at_ms for at_ms, *_ in self.states[1:]] + [self.records[-1].ended_ms]
        periods = [
            (state[0], end_ms - MAX_SAMPLE_LAG_MS)
            for state, end_ms in zip(self.states, end_times_ms, strict=True)
            if state[3] == share
        ]
        versions = [
            record.version
            for record in self.records
            for begin_ms, end_ms in periods
            if not record.session and record.finished and begin_ms < record.started_ms < end_ms
        ]
        return versions.count(NEW_VERSION[1]) / max(len(versions), 1)

    @property
    def interrupted(self) -> list[CallerRecord]:
        """Requests that neither finished nor were refused as not run."""
        return [
            record for record in self.records if not record.finished and record.run_state != "no"
        ]

    async def watch_row(self, cluster: Cluster) -> None:
        """Sample the row of the rollout until cancelled."""
        while True:
            row = await fetch_rollout_row(cluster)
            if row is not None:
                state = row["state"], row["step"], row["share"]
                if not self.states or self.states[-1][1:] != state:
                    self.states.append((wall_ms(), *state))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def watch_engines(self, cluster: RolloutCluster) -> None:
        """Sample the loads of the engines until cancelled."""
        names = [engine.identity for engine in cluster.engines]
        while True:
            reports = [
                report
                for report in await asyncio.gather(*map(cluster.fetch_orders, names))
                if report
            ]
            loading = [report for report in reports if report["loading"]]
            serving_old = [
                report
                for report in reports
                if OLD_VERSION in report["loaded"] and not report["loading"]
            ]
            self.max_loading = max(self.max_loading, len(loading))
            if loading:
                self.min_serving_old = min(self.min_serving_old, len(serving_old))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


# Disturbs a running rollout and returns.
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
    all_options = ("--load-s", str(MODEL_LOAD_S), *engine_options)
    names = [f"engine-{n + 1}" for n in range(ENGINE_COUNT)]
    cluster = RolloutCluster(
        folder, engines=tuple(EngineSpec(name, ("small@1",), all_options) for name in names)
    )
    loop = asyncio.get_running_loop()
    try:
        await cluster.start()
        account = account_row("desk", API_KEY, "small")
        await cluster.put(
            class_row(), version_row("small", "1"), version_row("small", "2"), account
        )
        await wait_for(lambda: leader_knows_hosts(cluster, 2, ENGINE_COUNT), 15)
        callers = Callers(cluster, random)
        callers.start(4, API_KEY, "desk", ANSWER_TOKENS)
        callers.start_sessions(2, API_KEY, "desk", ANSWER_TOKENS)
        watchers = [
            asyncio.create_task(run.watch_row(cluster)),
            asyncio.create_task(run.watch_engines(cluster)),
        ]
        await wait_for(lambda: _have_sessions_started(callers, 2), 10)
        started_s = loop.time()
        await start_rollout(cluster)
        await interrupt(cluster, random)
        await wait_for(lambda: rollout_has_reached(cluster, final_state), ROLLOUT_TIMEOUT_S)
        run.duration_s = loop.time() - started_s
        if final_state == "completed":
            await wait_for(lambda: _have_all_loaded(cluster), ROLLOUT_TIMEOUT_S)
        await asyncio.sleep(1.0)
        run.records = await callers.stop()
        run.row = await fetch_rollout_row(cluster) or {}
        accepted_numbers: dict[str, list[tuple[int, int]]] = {}
        for name in names:
            orders = await cluster.fetch_orders(name)
            run.loaded[name] = orders is not None and NEW_VERSION in orders["loaded"]
            fencing_numbers = [
                (order["term"], order["revision"]) for order in (orders or {}).get("accepted", ())
            ]
            accepted_numbers[name] = fencing_numbers
            if fencing_numbers != sorted(fencing_numbers):
                run.stale_orders.append(f"{name} accepted {fencing_numbers}")
        first_number = min(
            fencing_number
            for fencing_numbers in accepted_numbers.values()
            for fencing_number in fencing_numbers
        )
        for name, fencing_numbers in accepted_numbers.items():
            if fencing_numbers and fencing_numbers[-1][0] > first_number[0]:
                run.deposed_statuses.add(await cluster.order_unload(name, first_number))
        for watcher in watchers:
            watcher.cancel()
        await asyncio.gather(*watchers, return_exceptions=True)
        # A control host that was down gets the bills that it missed by exchange with the others.
        await wait_for(lambda: _are_ledgers_equal(cluster), LEDGER_TIMEOUT_S)
        billed = await fetch_billed_ids(cluster)
    finally:
        await cluster.stop()
    run.violations += check_session_versions(run.records)
    run.violations += check_billed_once(run.records, billed)
    run.violations += check_refused_not_run(run.records, read_engine_runs(folder))
    run.violations += check_answer_texts(run.records, _expected_text)
    return run


def failed_checks(run: RolloutRun, final_state: str) -> list[str]:
    """Return a description of each check that a rollout fails."""
    must_complete = final_state == "completed"
    checks = {
        f"violations {run.violations[:3]}": not run.violations,
        f"{len(run.interrupted)} requests interrupted {run.interrupted[:1]}": not run.interrupted,
        f"the row is {run.row}": run.row["state"] == final_state
        and run.row["share"] == (1.0 if must_complete else 0.0),
        f"shares {run.shares}": not must_complete or run.shares == [0.0, *STEP_SHARES],
        f"{run.max_loading} engines load at once": run.max_loading <= WEIGHT_STORE_LOADS,
        "every engine with the old version is loading": run.min_serving_old > 0,
        f"loaded {run.loaded}": not must_complete or all(run.loaded.values()),
        f"orders of an old leader {run.stale_orders}": not run.stale_orders,
        "no session began on the old version": any(
            record.session and record.version == OLD_VERSION[1] for record in run.records
        ),
        "the new version got work before its share": run.observed_share(0.0) == 0.0
        or not must_complete,
    }
    return [check for check, passed in checks.items() if not passed]


async def start_rollout(cluster: RolloutCluster, step_s: float = STEP_DURATION_S) -> None:
    """Start the rollout of the new version by the command line."""
    steps = [part for step in STEP_SHARES for part in ("--step", str(step))]
    await cluster.run_operator_command(
        *("rollout", "start", "summer", "--model", "small", "--from-version", OLD_VERSION[1]),
        *("--to-version", NEW_VERSION[1], "--step-s", str(step_s), *steps),
    )


async def rollout_has_reached(cluster: Cluster, state: str, share: float | None = None) -> bool:
    """Return whether the rollout is in a state, and at least at a share if one is given."""
    row = await fetch_rollout_row(cluster)
    return row is not None and row["state"] == state and row["share"] >= (share or 0.0)


async def _are_ledgers_equal(cluster: Cluster) -> bool:
    """Return whether a control host reports that all ledgers hold the same bills."""
    status, document = await cluster.admin("GET", "/ready")
    return status == 200 and document["checks"]["ledgers_equal"]


async def _have_all_loaded(cluster: RolloutCluster) -> bool:
    """Return whether every engine has loaded the new version."""
    orders = [await cluster.fetch_orders(engine.identity) for engine in cluster.engines]
    return all(order is not None and NEW_VERSION in order["loaded"] for order in orders)


async def _have_sessions_started(callers: Callers, count: int) -> bool:
    """Return whether requests of that many sessions have finished."""
    return (
        len({record.session for record in callers.records if record.session and record.finished})
        >= count
    )


def _expected_text(record: CallerRecord) -> str:
    """Return the text that an emulated engine generates for a caller's prompt."""
    return answer_text([{"role": "user", "content": record.prompt}], ANSWER_TOKENS)
