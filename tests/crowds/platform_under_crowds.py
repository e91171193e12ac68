"""The platform's daemons as processes with small limits, which crowds of clients attack."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from ssl import SSLContext

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from baobabstream.platform.names import READY_PATH
from baobabstream.telemetry.statistics_page import METRICS_PATH, METRICS_PORT
from crowds.misbehaving_clients import (
    MAX_BODY_BYTES,
    MAX_HEADER_BYTES,
    REQUEST_SOCKET_PREAMBLE,
    Crowd,
    Target,
    gather_crowd,
)
from crowds.process_watch import ProcessWatch
from fake_backend_server import FakeBackendServer
from platform_stand_in import (
    FRONT_PORT,
    HTTP_PORT,
    INNER_PORT,
    READY_PORT,
    TUNNEL_PORT,
    caller_headers,
    make_config,
)
from soak.processes import ProcessPlatform

__all__ = [
    "MAX_DESCRIPTORS",
    "MEMORY_MB",
    "assert_bounded_under_crowd",
    "assert_process_is_bounded",
    "coordination_targets",
    "gateway_targets",
    "inner_targets",
    "is_answered",
    "run_small_platform",
    "serve_in_time",
]

# Memory of the smallest hosts, and few descriptors.
MEMORY_MB, BYTES_PER_MB = 88, 1_000_000
MAX_DESCRIPTORS = 600
# Of these, the platform reserves this number for files outside the data folder.
RESERVED_DESCRIPTORS = 200
LIMITS = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
# Limits of the configuration, as in the platform's example of one.
REQUEST_LIMITS = {
    "max_header_bytes": MAX_HEADER_BYTES,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# Time between two announcements that daemons expect by default; the servers are faster here.
DEFAULT_HEARTBEAT_S = 1.2
# Time for an ordinary request to be served, however often it is refused; only guards against a
# process that serves nobody any more.
SERVICE_TIMEOUT_S = 60.0
PAUSE_AFTER_REFUSAL_S = 0.2


@asynccontextmanager
async def run_small_platform(folder: Path) -> AsyncIterator[ProcessPlatform]:
    """Run a coordination host and a gateway with small limits, and a server of each service."""
    async with ProcessPlatform(
        folder, 1, 1, heartbeat_s=DEFAULT_HEARTBEAT_S, limits=LIMITS
    ) as platform:
        await platform.put_config(make_config(1, limits=REQUEST_LIMITS))
        for service in ("app", "engine"):
            await platform.add_backend(FakeBackendServer(f"{service}-1", service))
        await platform.wait_until_ready()
        await serve_in_time(lambda: sends_ordinary_request(platform))
        yield platform


async def serve_in_time(is_served: Callable[[], Awaitable[bool]]) -> None:
    """Repeat an ordinary call until it is served; raises TimeoutError if it never is."""
    async with asyncio.timeout(SERVICE_TIMEOUT_S):
        while not await is_served():
            await asyncio.sleep(PAUSE_AFTER_REFUSAL_S)


async def is_answered(method: str, url: str, tls: SSLContext | None = None, **options) -> bool:
    """Send a request on a connection of its own, and return whether it was served with a body.

    ``options`` are those of aiohttp's `ClientSession.request`.
    """
    connector = TCPConnector(ssl=tls or True)
    try:
        async with (
            ClientSession(timeout=ClientTimeout(total=5), connector=connector) as session,
            session.request(method, url, **options) as reply,
        ):
            return reply.status == 200 and bool(await reply.read())
    except (ClientError, OSError, TimeoutError):
        return False


async def sends_ordinary_request(platform: ProcessPlatform) -> bool:
    """Send an ordinary request, and return whether it was served."""
    return await is_answered(
        "POST", platform.url("/look/1"), headers=caller_headers("r0"), data=b"x"
    )


async def changes_configuration(platform: ProcessPlatform, version: int) -> bool:
    """Send a configuration with a new route, and return whether the gateway serves that route."""
    config = make_config(version, limits=REQUEST_LIMITS)
    new_path = f"/look{version}/"
    config["routes"].append(config["routes"][1] | {"path_prefix": new_path})
    ip = platform.coordinator_ips[0]
    if await platform.put_config(config, ip) != 200:
        return False
    status, _, _ = await platform.send_request(f"{new_path}1", "r1")
    return status == 200


def gateway_targets(platform: ProcessPlatform) -> tuple[Target, ...]:
    """Return paths at each listening socket of the gateway."""
    ip = platform.gateway_ips[0]
    fields = tuple(f"{name}: {value}" for name, value in caller_headers("r-crowd").items())
    host = ("Host: desk.example",)
    return (
        Target(ip, FRONT_PORT, "/look/1", fields=fields),
        Target(ip, FRONT_PORT, "/chat/1", fields=fields),
        Target(ip, FRONT_PORT, "/none/1", fields=fields),
        Target(ip, READY_PORT, READY_PATH, fields=host),
        Target(ip, READY_PORT, "/none/1", fields=host),
        Target(ip, METRICS_PORT, METRICS_PATH, fields=host),
        Target(ip, TUNNEL_PORT, "/", fields=host),
    )


def coordination_targets(platform: ProcessPlatform) -> tuple[Target, ...]:
    """Return paths at each listening socket of the coordination host."""
    ip = platform.coordinator_ips[0]
    host = ("Host: control",)
    paths = (
        "/baobabstream/config/put",
        "/baobabstream/config/get",
        "/baobabstream/rollouts/start",
        "/baobabstream/replicas/i-9/heartbeat",
        "/baobabstream/replicas/i-9/deregister",
        "/none",
    )
    return (
        *(Target(ip, HTTP_PORT, path, fields=host) for path in paths),
        Target(ip, METRICS_PORT, METRICS_PATH, fields=host),
        Target(ip, INNER_PORT, "/", fields=host),
    )


def inner_targets(platform: ProcessPlatform) -> tuple[Target, ...]:
    """Return the port of the protocol between daemons, spoken as nng's request sockets do."""
    ip = platform.coordinator_ips[0]
    return (Target(ip, INNER_PORT, "/", preamble=REQUEST_SOCKET_PREAMBLE),)


async def assert_process_is_bounded(
    process_id: int,
    crowd: Crowd,
    targets: Sequence[Target],
    is_served: Callable[[], Awaitable[bool]],
    limits: tuple[int, int] = (MEMORY_MB, MAX_DESCRIPTORS),
) -> None:
    """Check that a crowd does not take a process beyond its limits, or its service.

    Parameters
    ----------
    process_id
        The process that is attacked.
    crowd, targets
        What attacks it, and where.
    is_served
        Sends an ordinary call and returns whether it was served.
    limits
        Memory in MB and number of descriptors of the process.
    """
    memory_mb, max_descriptors = limits
    async with ProcessWatch(process_id) as watch:
        async with gather_crowd(crowd, targets):
            await serve_in_time(is_served)
        await serve_in_time(is_served)
    assert watch.peak_bytes <= memory_mb * BYTES_PER_MB
    assert watch.peak_descriptors <= max_descriptors - RESERVED_DESCRIPTORS


async def assert_bounded_under_crowd(
    platform: ProcessPlatform,
    ip: str,
    crowd: Crowd,
    targets: Sequence[Target],
    is_served: Callable[[], Awaitable[bool]],
) -> None:
    """Check that a crowd neither ends the daemon at an address nor takes it beyond its limits.

    The other parameters are those of `assert_process_is_bounded`.
    """
    daemon = platform.daemons[ip]
    await assert_process_is_bounded(daemon.process.pid, crowd, targets, is_served)
    assert daemon.exit_codes == []
