"""Tests an entry and a control daemon with TLS on every listener.

The entry daemon accepts the requests of callers; the control daemon replicates the configuration.
"""

import asyncio
import ssl
from pathlib import Path
from random import Random

from aiohttp import ClientSession, TCPConnector
from typer.testing import CliRunner

from baobabstream.cli import admin_client
from baobabstream.cli.app import app
from baobabstream.cli.exit_codes import ExitCode, exit_code
from baobabstream.control.daemon import ControlDaemon
from baobabstream.entry.daemon import EntryDaemon
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings
from free_ports import free_ports
from tls_daemon_files import write_daemon_files
from waiting import until


async def test_entry_becomes_ready_over_tls_and_serves_https(tmp_path, monkeypatch):
    """Guards against a listener or a connection between daemons that does not use TLS."""
    monkeypatch.setattr(admin_client, "RESEND_DELAY_S", 0.0)
    ports = free_ports(3)
    authority = write_daemon_files(tmp_path, ports)
    control = ControlDaemon(load_settings(tmp_path / "control.toml", ControlSettings))
    entry = EntryDaemon(load_settings(tmp_path / "entry.toml", EntrySettings), Random(1))
    await control.start()
    await entry.start()
    try:
        context = ssl.create_default_context()
        authority.configure_trust(context)
        async with ClientSession(connector=TCPConnector(ssl=context)) as session:

            async def http_status(host: str, port: int, path: str) -> int:
                """Return the HTTP status of a GET request; ``host`` is the name to be certified."""
                url = f"https://127.0.0.1:{port}{path}"
                async with session.get(url, server_hostname=host) as answer:
                    return answer.status

            # The entry daemon is ready once the control daemon has granted it a lease.
            await until(lambda: entry.control.lease.remaining_s(_now_s()) > 0)
            assert await http_status("entry-1", ports[2], "/readyz") == 200
            assert await http_status("control-1", ports[1], "/healthz") == 200
        # Without the certificate authority the command must not connect.
        for ca_file, expected_exit_code in ((tmp_path / "ca.pem", 0), (None, ExitCode.UNREACHABLE)):
            assert await asyncio.to_thread(list_classes, ports[1], ca_file) == expected_exit_code
    finally:
        await entry.stop()
        await control.stop()


def list_classes(port: int, ca_file: Path | None) -> int:
    """Run ``class list`` against an https control host and return its exit code."""
    arguments = ["class", "list", "--control-url", f"https://127.0.0.1:{port}"]
    arguments += ["--key", "correct-horse-battery"]
    arguments += ["--ca-file", str(ca_file)] if ca_file is not None else []
    result = CliRunner().invoke(app, arguments)
    if isinstance(result.exception, BaobabstreamError):
        return exit_code(result.exception)
    return result.exit_code


def _now_s() -> float:
    """Return the time of the event loop in seconds."""
    return asyncio.get_running_loop().time()
