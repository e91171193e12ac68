"""Entry and control daemon with TLS on every listener."""

import asyncio
import socket
import ssl
from contextlib import ExitStack
from random import Random

import trustme
from aiohttp import ClientSession, TCPConnector

from baobabstream.control.daemon import ControlDaemon
from baobabstream.entry.daemon import EntryDaemon
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings
from waiting import until

COMMON = """
cluster = "c"
host = "{host}"
availability_zone = "a"
peer_secret = "correct-horse-battery"
{extra}
[peer_tls]
certificate_file = "{host}.pem"
key_file = "{host}.key"
ca_file = "ca.pem"
[{listener}tls]
certificate_file = "{host}.pem"
key_file = "{host}.key"
[[control]]
host = "control-1"
availability_zone = "a"
port = {ports[0]}
http_port = {ports[1]}
"""
CONTROL = """
data_folder = "data"
backend_key = "correct-horse-battery"
operator_keys = { ama = "correct-horse-battery" }
"""
ENTRY = """
session_secret = "correct-horse-battery"
drain_notice_s = 0.0
listener.port = {ports[2]}
"""


def free_ports(count: int) -> list[int]:
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


def write_files(folder, ports) -> trustme.CA:
    authority = trustme.CA()
    authority.cert_pem.write_to_path(folder / "ca.pem")
    for host in ("control-1", "entry-1"):
        certificate = authority.issue_cert(host)
        certificate.private_key_pem.write_to_path(folder / f"{host}.key")
        certificate.cert_chain_pems[0].write_to_path(folder / f"{host}.pem")
    control = COMMON.format(host="control-1", extra=CONTROL, listener="admin_", ports=ports)
    entry = ENTRY.format(ports=ports)
    entry = COMMON.format(host="entry-1", extra=entry, listener="listener.", ports=ports)
    (folder / "control.toml").write_text(control)
    (folder / "entry.toml").write_text(entry)
    return authority


async def test_entry_becomes_ready_over_tls_and_serves_https(tmp_path):
    """Guards against a listener or a peer connection that silently stays in plain text."""
    ports = free_ports(3)
    authority = write_files(tmp_path, ports)
    control = ControlDaemon(load_settings(tmp_path / "control.toml", ControlSettings))
    entry = EntryDaemon(load_settings(tmp_path / "entry.toml", EntrySettings), Random(1))
    await control.start()
    await entry.start()
    try:
        context = ssl.create_default_context()
        authority.configure_trust(context)
        async with ClientSession(connector=TCPConnector(ssl=context)) as session:

            async def status(host: str, port: int, path: str) -> int:
                url = f"https://127.0.0.1:{port}{path}"
                async with session.get(url, server_hostname=host) as answer:
                    return answer.status

            await until(lambda: entry.control.lease.remaining_s(_now_s()) > 0)
            assert await status("entry-1", ports[2], "/readyz") == 200
            assert await status("control-1", ports[1], "/healthz") == 200
    finally:
        await entry.stop()
        await control.stop()


def _now_s() -> float:
    return asyncio.get_running_loop().time()
