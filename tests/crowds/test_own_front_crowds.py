"""Tests the entry and control daemons under crowds of clients that do not behave.

Ordinary callers and operators are served while the crowd's connections are open, and afterwards.
"""

from contextlib import asynccontextmanager
from itertools import count

import pytest

from crowds.misbehaving_clients import CROWDS, FRAME_CROWDS, REQUEST_SOCKET_PREAMBLE, Target
from crowds.platform_under_crowds import (
    MAX_DESCRIPTORS,
    assert_process_is_bounded,
    is_answered,
    serve_in_time,
)
from system.cluster import BACKEND_KEY, OPERATOR_KEY, Cluster, EngineSpec
from system.rows import account_row, class_row, version_row

API_KEY = "api-key-of-the-desk"
# These daemons load more libraries than those of the platform.
MEMORY_MB = 128
# Ports of the exporters of the control and the entry host. The other ports of a cluster are drawn
# from 10,000 on, and each cluster has an address of its own.
METRICS_PORTS = (9464, 9465)
LIMITS = f"memory_mb = {MEMORY_MB}\nmax_fds = {MAX_DESCRIPTORS}\n"


class _Hosts:
    """A control host, an entry host and an engine.

    Parameters
    ----------
    cluster
        The processes, which are not running yet.
    """

    def __init__(self, cluster: Cluster) -> None:
        self.cluster = cluster
        self._changes = count()

    async def serves_caller(self) -> bool:
        """Send a chat request on a connection of its own, and return whether it was served."""
        url = f"{self.cluster.entry_url('entry-1')}/v1/chat/completions"
        body = {
            "model": "auto",
            "stream": True,
            "max_tokens": 2,
            "messages": [{"role": "user", "content": "x"}],
        }
        headers = {"Authorization": f"Bearer {API_KEY}"}
        return await is_answered("POST", url, json=body, headers=headers)

    async def serves_operator(self) -> bool:
        """Store a change, and return whether it was accepted."""
        http_status, config = await self.cluster.admin("GET", "/config")
        if http_status != 200:
            return False
        body = {
            "change_id": f"change-{next(self._changes)}",
            "base_revision": config["operator_revision"],
            "put": [class_row()],
        }
        http_status, _ = await self.cluster.admin("POST", "/changes", body)
        return http_status == 200

    def entry_targets(self) -> tuple[Target, ...]:
        """Return paths at each listening socket of the entry host."""
        cluster = self.cluster
        port = cluster.ports["entry-1"]
        fields = ("Host: entry", f"Authorization: Bearer {API_KEY}")
        paths = ("/v1/chat/completions", "/v1/models", "/readyz", "/none")
        return (
            *(Target(cluster.ip, port, path, fields=fields) for path in paths),
            Target(cluster.ip, METRICS_PORTS[1], "/metrics", fields=fields),
        )

    def control_targets(self) -> tuple[Target, ...]:
        """Return paths at each listening socket of the control host."""
        cluster = self.cluster
        port = cluster.ports["control-1/http"]
        operator = ("Host: control", f"Authorization: Bearer {OPERATOR_KEY}")
        server = ("Host: control", f"Authorization: Bearer {BACKEND_KEY}")
        return (
            Target(cluster.ip, port, "/admin/v1/changes", fields=operator),
            Target(cluster.ip, port, "/admin/v1/config", fields=operator),
            Target(cluster.ip, port, "/backend/v1/announce", fields=server),
            Target(cluster.ip, port, "/healthz", fields=server),
            Target(cluster.ip, port, "/none", fields=server),
            Target(cluster.ip, METRICS_PORTS[0], "/metrics", fields=server),
            Target(cluster.ip, cluster.ports["control-1/rpc"], "/", fields=server),
        )

    def inner_targets(self) -> tuple[Target, ...]:
        """Return the port of the protocol between daemons."""
        port = self.cluster.ports["control-1/rpc"]
        return (Target(self.cluster.ip, port, "/", preamble=REQUEST_SOCKET_PREAMBLE),)


@asynccontextmanager
async def run_hosts(folder):
    """Run the hosts with small limits until an ordinary call of each kind is served."""
    (folder / "timeline").mkdir()
    cluster = Cluster(folder, 1, 1, (EngineSpec("engine-1", ("small@1",)),))
    exporters = [f'metrics_ip = "{cluster.ip}"\nmetrics_port = {port}\n' for port in METRICS_PORTS]
    cluster.control_settings = LIMITS + exporters[0]
    cluster.entry_settings += LIMITS + exporters[1]
    hosts = _Hosts(cluster)
    try:
        await cluster.start()
        await cluster.put(
            class_row(), version_row("small", "1"), account_row("desk", API_KEY, "small")
        )
        await serve_in_time(hosts.serves_caller)
        await serve_in_time(hosts.serves_operator)
        yield hosts
    finally:
        await cluster.stop()


async def assert_host_is_bounded(hosts: _Hosts, host: str, crowd, targets, is_served) -> None:
    """Check that a crowd neither ends a host's daemon nor takes it beyond its limits."""
    process = hosts.cluster.processes[host]
    await assert_process_is_bounded(
        process.pid, crowd, targets, is_served, (MEMORY_MB, MAX_DESCRIPTORS)
    )
    assert process.returncode is None


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.name.replace(" ", "-"))
async def test_entry_host_outlives_a_crowd(tmp_path, crowd):
    """Guards against clients that take an entry host's memory or descriptors, or stop it."""
    async with run_hosts(tmp_path) as hosts:
        targets = hosts.entry_targets()
        await assert_host_is_bounded(hosts, "entry-1", crowd, targets, hosts.serves_caller)


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.name.replace(" ", "-"))
async def test_control_host_outlives_a_crowd(tmp_path, crowd):
    """Guards against clients that take a control host's memory or descriptors, or stop it."""
    async with run_hosts(tmp_path) as hosts:
        targets = hosts.control_targets()
        await assert_host_is_bounded(hosts, "control-1", crowd, targets, hosts.serves_operator)


@pytest.mark.parametrize("crowd", FRAME_CROWDS, ids=lambda crowd: crowd.name.replace(" ", "-"))
async def test_control_host_outlives_a_crowd_at_the_inner_port(tmp_path, crowd):
    """Guards against clients that speak the protocol between daemons and do not behave."""
    async with run_hosts(tmp_path) as hosts:
        targets = hosts.inner_targets()
        await assert_host_is_bounded(hosts, "control-1", crowd, targets, hosts.serves_operator)
