"""Stands in for the platform in tests: operators, callers and the network of the hosts.

The gateway and coordination daemons are real. They run in the process of the test, each at its own
loopback address.
"""

import asyncio
import errno
import json
import logging
import os
import socket
from contextlib import AsyncExitStack, suppress
from itertools import chain, count
from pathlib import Path
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from baobabstream.coordination.daemon import CoordinationDaemon
from baobabstream.coordination.settings import CoordinationSettings
from baobabstream.gateway.daemon import GatewayDaemon
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.platform.config_format import read_document
from baobabstream.platform.names import HEADERS, READY_PATH
from baobabstream.platform.operator_api import operator_application
from baobabstream.telemetry.decision_log import DecisionLog
from fake_backend_server import FakeBackendServer
from server_links import ServerLinks, run_behind_links
from waiting import until

__all__ = ["KEY", "PlatformHarness", "caller_headers", "make_config"]

logger = logging.getLogger(__name__)

# API key of the only client account.
KEY = "desk-key"
# Ports of every daemon; the daemons differ in their IP addresses.
HTTP_PORT, READY_PORT, FRONT_PORT, INNER_PORT, TUNNEL_PORT = 8229, 8220, 8227, 7340, 7341
# Time between two heartbeats of a backend server.
HEARTBEAT_S = 0.3
# Time after which a backend server sends its heartbeat to the next host instead.
ANNOUNCE_TIMEOUT_S = 1.0
# Numbers of loopback networks. The random start keeps most test processes that run at once apart.
_network_numbers = count(Random().randrange(1, 120) * 500)
# Port at the last address of a network that shows that a test uses it.
RESERVATION_PORT = 7339


def make_config(version: int, **changes) -> dict:
    """Return a configuration with the routes ``/chat/``, ``/look/`` and ``/sign/``.

    They are a stream, an idempotent and a non-idempotent route. ``changes`` replace top-level keys.
    """
    routes = [
        {
            "host": "desk.example",
            "path_prefix": f"/{name}/",
            "route_kind": kind,
            "timeout_ms": 4000,
            "slo_ms": 1500 if kind == "streaming" else 400,
            "max_attempts": attempts,
            "resumable": kind == "streaming",
            "sizes": ["small", "large"] if kind == "streaming" else [],
            "service": "engine" if kind == "streaming" else "app",
        }
        for name, kind, attempts in (
            ("chat", "streaming", 3),
            ("look", "safe", 2),
            ("sign", "unsafe", 1),
        )
    ]
    services = [{"name": "engine", "max_conns": 100}, {"name": "app", "max_conns": 100}]
    tenants = [{"name": "desk", "api_keys": [KEY]}]
    config = {"version": version, "routes": routes, "services": services, "tenants": tenants}
    return config | changes


def caller_headers(request_id: str, key: str = KEY) -> dict[str, str]:
    """Return the headers of a caller's request to a route of ``make_config``."""
    return {
        "Host": "desk.example",
        "X-Request-Id": request_id,
        "X-Deadline-Ms": "4000",
        "X-Api-Key": key,
        "X-Model": "*",
    }


def _network_prefix(number: int) -> str:
    """Return the first three bytes of the addresses of a loopback network."""
    return f"127.{1 + number // 250 % 250}.{1 + number % 250}"


def _reserve_network(preferred_number: int | None) -> tuple[str, socket.socket]:
    """Return the prefix of a network that no other test process uses, and the socket that says so.

    The preferred network is in use if the same test, or another copy of it, runs at the same time.
    """
    preferred_numbers = () if preferred_number is None else (preferred_number,)
    numbers = chain(preferred_numbers, _network_numbers)
    while True:
        prefix = _network_prefix(next(numbers))
        reservation = socket.socket()
        try:
            reservation.bind((f"{prefix}.254", RESERVATION_PORT))
        except OSError as error:
            reservation.close()
            if error.errno != errno.EADDRINUSE:
                raise
            logger.warning("network %s is in use; the next one is tried", prefix)
        else:
            return prefix, reservation


class PlatformHarness:
    """Coordination and gateway daemons, and the calls of operators, servers and callers.

    Parameters
    ----------
    folder
        Folder for the durable state of the coordination hosts.
    coordinators, gateways
        Number of hosts; the first three coordination hosts are the seeds.
    network
        Number of the preferred loopback network of the hosts. An unused one is taken by default,
        or if another test uses the preferred one.

    Attributes
    ----------
    coordinators, gateways
        Running daemons by IP address.
    backends
        Backend servers by identity.
    links
        Links between gateways and backend servers, which tests cut.
    """

    def __init__(
        self, folder: Path, coordinators: int = 3, gateways: int = 1, network: int | None = None
    ) -> None:
        self._exit_stack = AsyncExitStack()
        prefix, reservation = _reserve_network(network)
        self._exit_stack.callback(reservation.close)
        self._folder = folder
        self.coordinator_ips = [f"{prefix}.{n + 1}" for n in range(coordinators)]
        self.gateway_ips = [f"{prefix}.{n + 101}" for n in range(gateways)]
        self.seeds = tuple(self.coordinator_ips[:3])
        self.coordinators: dict[str, CoordinationDaemon] = {}
        self.gateways: dict[str, GatewayDaemon] = {}
        self.backends: dict[str, FakeBackendServer] = {}
        self.links = ServerLinks()
        self._heartbeat_tasks: dict[str, asyncio.Task[None]] = {}
        self._null_descriptor = os.open(os.devnull, os.O_WRONLY)

    async def __aenter__(self) -> "PlatformHarness":
        self.links.install(asyncio.get_running_loop())
        self.http = await self._exit_stack.enter_async_context(
            ClientSession(timeout=ClientTimeout(total=10))
        )
        for ip in self.coordinator_ips:
            await self.start_coordinator(ip, is_first_start=True)
        for ip in self.gateway_ips:
            await self.start_gateway(ip)
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._heartbeat_tasks.values():
            task.cancel()
        for ip in list(self.gateways):
            await self.kill_gateway(ip)
        for ip in list(self.coordinators):
            await self.kill_coordinator(ip)
        for backend in self.backends.values():
            backend.close()
        await self._exit_stack.aclose()
        os.close(self._null_descriptor)

    async def start_coordinator(self, ip: str, is_first_start: bool = False) -> None:
        """Start a coordination host; at the first start it may form a new group."""
        settings = CoordinationSettings(
            ip, ip, INNER_PORT, HTTP_PORT, self.seeds, is_first_start, 1, self._folder / ip
        )
        decisions = DecisionLog(ip, self._null_descriptor)
        daemon = CoordinationDaemon(settings, operator_application, decisions)
        self.coordinators[ip] = daemon
        await daemon.start()

    async def kill_coordinator(self, ip: str) -> None:
        """Stop a coordination host without a transfer of its leadership."""
        daemon = self.coordinators.pop(ip)
        daemon.log.core.start_leadership_transfer = lambda: False
        await daemon.stop()

    async def start_gateway(self, ip: str) -> None:
        """Start a gateway daemon."""
        # The last five values are the time limit of a stop, the share and the fixed number of
        # retries, the time window of these, and the idle time of a session; times in seconds.
        settings = GatewaySettings(
            ip,
            ip,
            "a",
            FRONT_PORT,
            READY_PORT,
            INNER_PORT,
            self.seeds,
            HEARTBEAT_S,
            8.0,
            0.9,
            50.0,
            10.0,
            5.0,
            TUNNEL_PORT,
        )
        decisions = DecisionLog(ip, self._null_descriptor)
        daemon = GatewayDaemon(settings, HEADERS, READY_PATH, read_document, Random(1), decisions)
        self.gateways[ip] = daemon
        await run_behind_links(ip, daemon.start())

    async def kill_gateway(self, ip: str) -> None:
        """End a gateway daemon without a planned stop; it cuts its connections."""
        gateway = self.gateways.pop(ip)
        await gateway._coordination_client.stop()
        await gateway._frontend.finish(0)
        await gateway._tunnel_server.finish(0)
        gateway._path_prober.stop()
        for server in gateway.context.directory:
            server.pool.close()
        await gateway._ready_runner.cleanup()
        await gateway._metrics.stop()

    async def add_backend(self, backend: FakeBackendServer) -> FakeBackendServer:
        """Start a backend server and its heartbeats."""
        await backend.start()
        self.links.add_server(backend.address)
        self.backends[backend.server_id] = backend
        self._heartbeat_tasks[backend.server_id] = asyncio.create_task(
            self._send_heartbeats(backend)
        )
        return backend

    async def _send_heartbeats(self, backend: FakeBackendServer) -> None:
        """Announce a backend server until cancelled."""
        while True:
            if backend.is_running:
                await self.send_heartbeat(backend)
            await asyncio.sleep(HEARTBEAT_S)

    async def send_heartbeat(self, backend: FakeBackendServer) -> bool:
        """Send one heartbeat to the coordination hosts in turn until one accepts it.

        Returns whether one has accepted it.
        """
        for ip in self.coordinator_ips:
            path = f"/baobabstream/replicas/{backend.server_id}/heartbeat"
            with suppress(TimeoutError):
                async with asyncio.timeout(ANNOUNCE_TIMEOUT_S):
                    status, _ = await self.call_control_api(
                        ip, "POST", path, backend.next_heartbeat()
                    )
                if status == 200:
                    return True
        return False

    async def call_control_api(
        self, ip: str, method: str, path: str, body=None
    ) -> tuple[int, bytes]:
        """Call the HTTP interface of a coordination host.

        Returns status and body of the response, or status 0 if there is none. A body that is no
        bytes is sent as JSON.
        """
        data = body if isinstance(body, bytes) else json.dumps(body).encode() if body else None
        try:
            async with self.http.request(
                method, f"http://{ip}:{HTTP_PORT}{path}", data=data
            ) as reply:
                return reply.status, await reply.read()
        except (OSError, ClientError):
            return 0, b""

    async def put_config(self, body, ip: str | None = None) -> int:
        """Send a configuration to a host and return the status of the response.

        Without a host, send it to all coordination hosts in turn until one accepts it.
        """
        if ip is not None:
            return (await self.call_control_api(ip, "POST", "/baobabstream/config/put", body))[0]
        async with asyncio.timeout(15):
            while True:
                for coordinator_ip in self.coordinators:
                    if await self.put_config(body, coordinator_ip) == 200:
                        return 200
                await asyncio.sleep(0.05)

    async def wait_until_ready(self, ip: str | None = None) -> None:
        """Wait until a gateway, by default the first one, reports ready."""
        url = f"http://{ip or self.gateway_ips[0]}:{READY_PORT}{READY_PATH}"

        async def is_ready() -> bool:
            """Return whether the gateway says so; a process that is starting may not listen yet."""
            try:
                async with self.http.get(url) as reply:
                    return reply.status == 200
            except ClientConnectorError:
                return False

        async with asyncio.timeout(15):
            while not await is_ready():
                await asyncio.sleep(0.05)

    def url(self, path: str, gateway_index: int = 0) -> str:
        """Return the URL of a path at a gateway."""
        return f"http://{self.gateway_ips[gateway_index]}:{FRONT_PORT}{path}"

    async def send_request(
        self,
        path: str,
        request_id: str,
        method: str = "POST",
        key: str = KEY,
        gateway_index: int = 0,
        body: bytes = b"prompt",
        **headers: str,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a caller's request to a gateway; return status, headers and body."""
        sent_headers = caller_headers(request_id, key) | headers
        async with self.http.request(
            method, self.url(path, gateway_index), headers=sent_headers, data=body
        ) as reply:
            return reply.status, dict(reply.headers), await reply.read()

    async def start_with_backends(self, *backends: FakeBackendServer) -> None:
        """Store a configuration, start backend servers and wait until every gateway knows them."""
        await self.put_config(make_config(1))
        for backend in backends:
            await self.add_backend(backend)
        for ip, gateway in self.gateways.items():
            await self.wait_until_ready(ip)
            await until(
                lambda gateway=gateway: all(
                    gateway.context.directory.get(server.server_id) for server in backends
                )
            )
