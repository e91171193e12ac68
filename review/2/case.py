"""A rollout to a version whose answers come too late is completed."""

import asyncio
import json
import random
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from callers import Answer, send
from deployment import (
    CannotRun,
    Deployment,
    Record,
    is_trouble,
    make_config,
    run_case,
)
from servers import Request, Server

# ``rollout_bad``, how = "slow", x = 8, share = 0.5, for_s = 16 of the site file.
SLOWNESS, SLOW_SHARE, ROLLOUT_S = 8.0, 0.5, 16.0
# Time that a sound server works on a request, and the route's time-out.
WORK_S, TIMEOUT_S = 0.25, 1.5
REQUESTS_PER_S = 20
# Delay of the link between entry machines and servers, each way, as between zones of the site.
LINK_DELAY_S = 0.0014
# Time from the 50th bad answer in which the version must be out of use: ``rollback_ms``.
BAD_ANSWERS, ROLLBACK_S = 50, 5.0
# Time after the deadline of the rollout for which requests are sent.
AFTERWARDS_S = 14.0

CONFIG = make_config(
    1,
    [
        {
            "name": "r-sign",
            "host": "ficu95.example",
            "path_prefix": "/sign/",
            "route_kind": "unsafe",
            "timeout_ms": int(TIMEOUT_S * 1000),
            "slo_ms": 400,
            "priority": 0,
            "max_attempts": 1,
            "service": "wuno96b",
        }
    ],
    [{"name": "wuno96b", "health_path": "/health", "max_conns": 100, "protocol": "h1"}],
)


@dataclass
class VersionedServer(Server):
    """A server of one version, some of whose answers take longer.

    ``late_s`` holds the times of the answers that took as long as the caller would wait.
    """

    version: str = "v1"
    slow_share: float = 0.0

    def __post_init__(self) -> None:
        self.late_s: list[float] = []

    def heartbeat(self) -> dict:
        return super().heartbeat() | {"version": self.version}

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request, and answer 504 if that takes longer than ``X-Deadline-Ms`` says."""
        await asyncio.sleep(LINK_DELAY_S)
        work_s = WORK_S * (SLOWNESS if random.random() < self.slow_share else 1.0)
        deadline_s = int(request.headers["x-deadline-ms"]) / 1000
        began_s = self.deployment.record.now_s()
        extra = f"X-Replica-Stamp: {self.stamp(request)}\r\n"
        try:
            await asyncio.sleep(min(work_s, deadline_s))
        finally:
            # The connection may have closed before, if the gateway has given up the request.
            if self.deployment.record.now_s() - began_s > 2 * WORK_S:
                self.late_s.append(self.deployment.record.now_s())
        await asyncio.sleep(LINK_DELAY_S)
        if work_s > deadline_s:
            self.write_answer(writer, request, 504, b"", extra)
        else:
            self.write_answer(writer, request, 200, b"recorded", extra)


async def case(record: Record) -> bool:
    """Return whether the bad version got requests long after its 50th bad answer."""
    async with Deployment(record, core_count=3, edge_count=2) as deployment:
        deployment.start_all()
        if await deployment.put_config(CONFIG) is None:
            raise CannotRun("no configuration was acknowledged")
        old = [VersionedServer(deployment, n, f"i-{n}", "wuno96b") for n in range(3)]
        for server in old:
            await server.start()
        await deployment.wait_ready()
        # All machines are in touch from here on, and the present version is known.
        await asyncio.sleep(6.0)
        sends: list[asyncio.Task[Answer]] = []
        traffic = asyncio.create_task(send_requests(deployment, sends))
        await asyncio.sleep(3.0)
        order = {"service": "wuno96b", "target": "v2", "duration_s": ROLLOUT_S}
        path = "/baobabstream/rollouts/start"
        status, _ = await deployment.call_control(deployment.cores[0], "POST", path, order)
        record.write(f"operator: rollout of wuno96b to v2 in {ROLLOUT_S} s: {status}")
        if status != 200:
            raise CannotRun("the rollout was not accepted")
        ordered_s = record.now_s()
        new = [
            VersionedServer(
                deployment,
                10 + n,
                f"j-{n}",
                "wuno96b",
                version="v2",
                slow_share=SLOW_SHARE if is_trouble() else 0.0,
            )
            for n in range(3)
        ]
        for server in new:
            await server.start()
        await watch_rollout(deployment, old, new, ordered_s + ROLLOUT_S + AFTERWARDS_S)
        traffic.cancel()
        answers = await asyncio.gather(*sends)
        record.write(
            "answers to requests after the deadline: "
            f"{Counter(a.status for a in answers if a.sent_s > ordered_s + ROLLOUT_S)}"
        )
        return got_requests_too_long(record, new, answers)


async def send_requests(deployment: Deployment, sends: list[asyncio.Task[Answer]]) -> None:
    """Send requests to both edge machines until cancelled."""
    while True:
        number = len(sends)
        edge = deployment.edges[number % len(deployment.edges)]
        sends.append(asyncio.create_task(send(deployment, edge, f"/sign/{number}", body=b"{}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def watch_rollout(
    deployment: Deployment, old: list[Server], new: list[Server], end_s: float
) -> None:
    """Read the state of the rollout until a time, and stop the servers that it replaces."""
    record, known_state = deployment.record, ""
    while record.now_s() < end_s:
        path = "/baobabstream/rollouts/wuno96b/get"
        status, body = await deployment.call_control(deployment.cores[1], "GET", path)
        state = json.loads(body)["state"] if status == 200 else known_state
        if state != known_state:
            known_state = state
            record.write(f"operator: the rollout is {state}")
            # The old servers stop at once when the rollout is completed.
            for server in old if state == "completed" else ():
                server.stop()
        await asyncio.sleep(0.2)


def got_requests_too_long(record: Record, new: list, answers: list[Answer]) -> bool:
    """Return whether a request that was sent too late after the 50th bad answer reached v2."""
    late_s = sorted(time_s for server in new for time_s in server.late_s)
    record.write(f"bad answers of v2: {len(late_s)}")
    if len(late_s) < BAD_ANSWERS:
        return False
    limit_s = late_s[BAD_ANSWERS - 1] + ROLLBACK_S
    sent_s = {answer.request_id: answer.sent_s for answer in answers}
    reached = [
        run.request.request_id
        for server in new
        for run in server.runs
        if sent_s[run.request.request_id] > limit_s
    ]
    record.write(
        f"EXPOSURE: 50th bad answer of v2 at {late_s[BAD_ANSWERS - 1]:.3f}; requests sent later "
        f"than {limit_s:.3f} that reached v2: {len(reached)}"
    )
    return bool(reached)


sys.exit(run_case(Path(__file__).resolve().parent, case))
