"""A configuration allows larger heads; clients use them on connections that were open before."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from stand_ins.clients import KeptClient, make_config  # noqa: E402
from stand_ins.deployment import BOUNDS, HEARTBEAT_MS, Deployment, Record  # noqa: E402
from stand_ins.replicas import Replica  # noqa: E402
from stand_ins.run_case import CannotRun, run_case, trouble  # noqa: E402

CLIENTS = 30
REPLICAS = 3
WORK_S = 0.02
CONFIG_S = BOUNDS["config_ms"] / 1000
CONTACT_S = BOUNDS["contact_ms"] / 1000
# Limit of the first configuration in the run with the trouble, and of the second one.
FIRST_LIMIT, SECOND_LIMIT = 4096, 16384
# Size of a header that only the second limit allows.
LARGE_HEADER_BYTES = 6000
REQUEST_GAP_S = 1.0
# Requests of each client before and after the change.
REQUESTS_BEFORE, REQUESTS_AFTER = 4, 5


async def play(folder: Path, record: Record) -> list[str]:
    deployment = Deployment(folder, record, cores=5, edges=2)
    try:
        return await _play(deployment, record)
    finally:
        await deployment.close()


def _config(version: int, max_header_bytes: int):
    config = make_config(version)
    config["limits"]["max_header_bytes"] = max_header_bytes
    return config


async def _play(deployment: Deployment, record: Record) -> list[str]:
    first_limit = FIRST_LIMIT if trouble() else SECOND_LIMIT
    if not await deployment.put_config(_config(3, first_limit), deployment.cores, 20):
        raise CannotRun("the first configuration was not acknowledged")
    replicas = [
        Replica(
            f"i-7f3a91c{n}", "desk", deployment.replica_ip(n), record, WORK_S, lambda: deployment.cores
        )
        for n in range(REPLICAS)
    ]
    for replica in replicas:
        await replica.start()
    if not await deployment.wait_until(
        lambda: all(edge.is_in_rotation for edge in deployment.edges), 20
    ):
        raise CannotRun("the edge machines are not ready")
    await asyncio.sleep(CONTACT_S + 2 * HEARTBEAT_MS / 1000)
    clients = [KeptClient(deployment.edges[n % 2], record) for n in range(CLIENTS)]
    try:
        return await _change(deployment, record, clients)
    finally:
        for client in clients:
            client.close()
        for replica in replicas:
            replica.exit()


async def _send_all(
    record: Record, clients: list[KeptClient], count: int, extra: dict[str, str]
) -> list[int]:
    """Let all clients send some requests, spread over the gaps; return the statuses."""
    statuses: list[int] = []

    async def run(client: KeptClient, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        for _ in range(count):
            sent = await client.send("/sign/1", extra)
            statuses.append(sent.status)
            record.write(
                "request",
                id=sent.request_id,
                edge=sent.machine,
                connected_s=round(client.connected_s, 3),
                sent_s=round(sent.sent_s, 3),
                status=sent.status,
                header_bytes=sum(map(len, extra.values())),
            )
            await asyncio.sleep(REQUEST_GAP_S)

    await asyncio.gather(
        *(run(client, n * REQUEST_GAP_S / len(clients)) for n, client in enumerate(clients))
    )
    return statuses


async def _change(
    deployment: Deployment, record: Record, clients: list[KeptClient]
) -> list[str]:
    before = await _send_all(record, clients, REQUESTS_BEFORE, {})
    if before.count(200) < 0.9 * len(before):
        raise CannotRun("requests before the change are not served")
    if not await deployment.put_config(_config(7, SECOND_LIMIT), deployment.cores, 4):
        raise CannotRun("the second configuration was not acknowledged")
    record.write("acknowledged", version=7)
    await asyncio.sleep(CONFIG_S + 0.5)
    after = await _send_all(record, clients, REQUESTS_AFTER, {"X-Note": "n" * LARGE_HEADER_BYTES})
    denied = [status for status in after if status not in (408, 421, 429) and 300 <= status < 500]
    allowed = 5 + (len(before) + len(after)) / 500
    record.write("denied", count=len(denied), allowed=allowed, requests=len(before) + len(after))
    if len(denied) > allowed:
        return [
            f"DENIED: {len(denied)} of {len(before) + len(after)} requests got "
            f"{sorted(set(denied))} though version 7, acknowledged more than config_ms before, "
            "allows them"
        ]
    return []


if __name__ == "__main__":
    run_case(__file__, play)
