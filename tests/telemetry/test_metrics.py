"""Tests the OpenTelemetry metrics and the log lines of a daemon.

The daemons are ``entry``, which accepts the requests of callers, and ``control``, which replicates
the configuration. Each exports the metrics in ``INSTRUMENTS`` that name its role.
"""

import asyncio
import json
import logging
import socket
from urllib.request import urlopen

import pytest
from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.resources.client_resources import ProcessResources
from baobabstream.resources.process_limits import ProcessLimits
from baobabstream.telemetry.http_metrics import install_request_metrics
from baobabstream.telemetry.instruments import INSTRUMENTS, InstrumentKind, MetricName
from baobabstream.telemetry.logs import configure_logging, get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind


@pytest.fixture
def port():
    """Return a free TCP port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def scrape(port: int) -> str:
    """Return the metrics in the Prometheus text format."""
    # Timeout in seconds.
    with urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as response:
        return response.read().decode()


async def test_each_instrument_of_a_role_is_exported(port):
    """Guards against metrics that are documented but not exported."""
    metrics = Metrics("entry", "entry-1", "127.0.0.1", port)
    instruments = [instrument for instrument in INSTRUMENTS.values() if "entry" in instrument.roles]
    for instrument in instruments:
        if instrument.kind is InstrumentKind.GAUGE:
            # Any value.
            metrics.observe(instrument.name, lambda: 5.0)
    app = web.Application()

    async def serve_thing(_: web.Request) -> web.Response:
        return web.json_response({})

    app.router.add_get("/things/{name}", serve_thing)
    install_request_metrics(app, metrics)
    metrics.count_event(EventKind.FIRST_TOKEN)
    async with TestClient(TestServer(app)) as client:
        for path in ("/things/a", "/things/b", "/nothing"):
            await client.get(path)
    await metrics.start(ProcessResources(ProcessLimits()).clients)
    text = await asyncio.to_thread(scrape, port)
    await metrics.close()
    for instrument in instruments:
        assert instrument.name.replace(".", "_") in text, instrument.name
    assert 'route="/things/{name}",status="200"' in text
    assert "/things/a" not in text
    assert 'kind="first_token"' in text


def test_exporter_on_a_taken_port_is_refused(port):
    """Guards against an unhandled exception instead of a numbered error."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", port))
        listener.listen()
        with pytest.raises(BaobabstreamError) as caught:
            Metrics("entry", "entry-1", "127.0.0.1", port)
    assert caught.value.code is ResultCode.ADDRESS_IN_USE


async def test_without_a_port_nothing_is_recorded():
    """Guards against a daemon that fails when metrics are switched off."""
    metrics = Metrics("control", "control-1", "127.0.0.1", None)
    metrics.add(MetricName.EVENTS, 1, {"kind": "x"})
    metrics.observe(MetricName.CONTROL_TERM, lambda: 1.0)
    await metrics.start(ProcessResources(ProcessLimits()).clients)
    await metrics.close()


@pytest.mark.parametrize("json_lines", [False, True])
def test_log_lines_carry_prefix_and_host(json_lines, capsys):
    """Guards against log lines without the component or host that wrote them."""
    previous_handlers = {
        name: logging.getLogger(name).handlers for name in ("baobabstream", "aiohttp")
    }
    try:
        configure_logging("INFO", json_lines, "entry-1")
        get_logger("entry").info("Listening on port %d.", 80)
        logging.getLogger("aiohttp.server").warning("broken")
    finally:
        for name, handlers in previous_handlers.items():
            logging.getLogger(name).handlers = handlers
            logging.getLogger(name).propagate = True
    project_line, library_line = capsys.readouterr().err.splitlines()
    if json_lines:
        record = json.loads(project_line)
        assert (record["message"], record["host"]) == ("entry: Listening on port 80.", "entry-1")
    else:
        assert project_line.endswith("INFO entry-1 entry: Listening on port 80.")
        assert "aiohttp: broken" in library_line
