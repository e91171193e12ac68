"""Metrics and logs of a daemon."""

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
from baobabstream.telemetry.http_metrics import install_request_metrics
from baobabstream.telemetry.instruments import INSTRUMENTS, InstrumentKind, MetricName
from baobabstream.telemetry.logs import configure_logging, get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind


@pytest.fixture
def port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def scrape(port: int) -> str:
    with urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as answer:
        return answer.read().decode()


async def test_each_instrument_of_a_role_is_exported(port):
    """Guards against metrics that the page promises and no daemon exports."""
    metrics = Metrics("entry", "entry-1", "127.0.0.1", port)
    wanted = [item for item in INSTRUMENTS.values() if "entry" in item.roles]
    for item in wanted:
        if item.kind is InstrumentKind.GAUGE:
            metrics.observe(item.name, lambda: 5.0)
    app = web.Application()

    async def show(_: web.Request) -> web.Response:
        return web.json_response({})

    app.router.add_get("/things/{name}", show)
    install_request_metrics(app, metrics)
    metrics.count_event(EventKind.FIRST_TOKEN)
    async with TestClient(TestServer(app)) as client:
        for path in ("/things/a", "/things/b", "/nothing"):
            await client.get(path)
    text = await asyncio.to_thread(scrape, port)
    metrics.close()
    for item in wanted:
        assert item.name.replace(".", "_") in text, item.name
    assert 'route="/things/{name}",status="200"' in text
    assert "/things/a" not in text
    assert 'kind="first_token"' in text


def test_exporter_on_a_taken_port_is_refused(port):
    """Guards against a trace in place of a numbered error."""
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", port))
        holder.listen()
        with pytest.raises(BaobabstreamError) as caught:
            Metrics("entry", "entry-1", "127.0.0.1", port)
    assert caught.value.code is ResultCode.ADDRESS_IN_USE


def test_without_a_port_nothing_is_recorded():
    """Guards against a daemon that fails when metrics are switched off."""
    metrics = Metrics("control", "control-1", "127.0.0.1", None)
    metrics.add(MetricName.EVENTS, 1, {"kind": "x"})
    metrics.observe(MetricName.CONTROL_TERM, lambda: 1.0)
    metrics.close()


@pytest.mark.parametrize("json_lines", [False, True])
def test_log_lines_carry_prefix_and_host(json_lines, capsys):
    """Guards against log lines whose origin cannot be told."""
    kept = {name: logging.getLogger(name).handlers for name in ("baobabstream", "aiohttp")}
    try:
        configure_logging("INFO", json_lines, "entry-1")
        get_logger("entry").info("Listening on port %d.", 80)
        logging.getLogger("aiohttp.server").warning("broken")
    finally:
        for name, handlers in kept.items():
            logging.getLogger(name).handlers = handlers
            logging.getLogger(name).propagate = True
    ours, library = capsys.readouterr().err.splitlines()
    if json_lines:
        record = json.loads(ours)
        assert (record["message"], record["host"]) == ("entry: Listening on port 80.", "entry-1")
    else:
        assert ours.endswith("INFO entry-1 entry: Listening on port 80.")
        assert "aiohttp: broken" in library
