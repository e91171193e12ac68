"""Tests and fuzzes the decoders of what operators, servers and the settings file say."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused, SettingsError
from baobabstream.platform.announcement_format import read_announcement, read_departure
from baobabstream.platform.config_format import read_document
from baobabstream.platform.settings import SETTINGS_PATH_VARIABLE, load_platform_settings
from baobabstream.routing.document import RouteKind
from baobabstream.wire.coordination_messages import ServerState

ROUTE = {
    "name": "r-1",
    "host": "desk.example",
    "path_prefix": "/chat/",
    "route_kind": "streaming",
    "timeout_ms": 25000,
    "slo_ms": 1500,
    "priority": 0,
    "sizes": ["s", "l"],
    "split": [{"service": "engine", "weight": 90}, {"service": "app", "weight": 10}],
    "max_attempts": 3,
    "sticky": True,
    "resumable": True,
    "gap_slo_ms": 1000,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [
        {
            "name": "engine",
            "health_path": "/health",
            "max_conns": 360,
            "engine": {"slots": 64, "kv_capacity": 5000, "models": [{"name": "s", "cost": 0.1}]},
        },
        {"name": "app", "max_conns": 100},
    ],
    "limits": {"idle_timeout_ms": 15000},
    "tenants": [{"name": "desk", "api_keys": ["k1", "k2"], "priority": 1}],
}
HEARTBEAT = {
    "service": "engine",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1700000000000,
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def test_configuration_is_decoded_into_our_terms():
    """Guards against a field that is read under the wrong name or unit."""
    document = read_document(json.dumps(CONFIG).encode())
    route = document.routes[0]
    assert (route.kind, route.is_resumable, route.timeout_s) == (RouteKind.STREAM, True, 25.0)
    assert (route.latency_target_s, route.event_gap_target_s) == (1.5, 1.0)
    assert [(share.service, share.weight) for share in route.shares] == [
        ("engine", 90),
        ("app", 10),
    ]
    assert document.services[0].engine.kv_capacity_tokens == 5000
    assert document.accounts[0].api_keys == ("k1", "k2")
    assert document.limits.idle_timeout_s == 15.0


def test_unknown_kind_may_run_once_only():
    """Guards against repeating requests of a kind that is not known."""
    config = CONFIG | {"routes": [ROUTE | {"route_kind": "new"}]}
    document = read_document(json.dumps(config).encode())
    assert document.routes[0].kind is RouteKind.NON_IDEMPOTENT
    assert not document.routes[0].is_repeatable


@given(st.integers(0, 400))
def test_cut_configuration_is_refused(length):
    """Guards against part of a configuration in force."""
    text = json.dumps(CONFIG).encode()
    with pytest.raises(RequestRefused):
        read_document(text[: min(length, len(text) - 1)])


@given(st.sampled_from(sorted(ROUTE)), JSON)
def test_any_route_field_is_taken_or_refused(name, value):
    """Guards against a value of another type that ends the process."""
    config = CONFIG | {"routes": [ROUTE | {name: value}]}
    try:
        read_document(json.dumps(config).encode())
    except RequestRefused:
        return


@given(st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode()))
def test_any_bytes_are_refused_as_announcement(data):
    """Guards against another writer's message that names a server."""
    with pytest.raises(RequestRefused):
        read_announcement("i-1", data)
    read_departure(data)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("state", "sleeping"),
        ("state", 1),
        ("address", "10.0.0.9"),
        ("address", "host:80"),
        ("address", "10.0.0.9:0"),
        ("slots", 0),
        ("slots", "64"),
        ("seq", "4"),
        ("born", "x"),
        ("born", 1.5),
        ("service", ""),
        ("version", None),
    ],
)
def test_announcement_with_an_unusable_field_is_refused(name, value):
    """Guards against a server that nothing is known of in earnest."""
    with pytest.raises(RequestRefused):
        read_announcement("i-1", json.dumps(HEARTBEAT | {name: value}).encode())


def test_announcement_is_decoded_into_our_terms():
    """Guards against a start or sequence number that is lost."""
    row = read_announcement("i-1", json.dumps(HEARTBEAT | {"state": "draining"}).encode())
    assert (row.born_ms, row.sequence, row.state) == (1700000000000, 4, ServerState.DRAINING)


SETTINGS = """
node_name = "edge-1"
ip = "127.0.0.5"
zone = "a"
internal_ports = [7340, 7355]
seeds = ["127.0.0.1:8229"]
unknown_field = 3
[listen]
frontend = "127.0.0.5:8227"
readiness = "127.0.0.5:8220"
[bounds]
retry_ratio = 0.9
"""


def load(monkeypatch, path, text):
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    return load_platform_settings()


def test_settings_with_new_fields_are_taken(monkeypatch, tmp_path):
    """Guards against refusing the file of a newer platform."""
    settings = load(monkeypatch, tmp_path / "s.toml", SETTINGS).gateway()
    assert (settings.front_port, settings.ready_port, settings.inner_port) == (8227, 8220, 7340)
    assert (settings.seeds, settings.retry_share) == (("127.0.0.1",), 0.9)


@pytest.mark.parametrize(
    "text",
    [
        "node_name = ",
        SETTINGS.replace('ip = "127.0.0.5"', "ip = 5"),
        SETTINGS.replace("seeds", "x"),
    ],
)
def test_unusable_settings_are_a_clear_error(monkeypatch, tmp_path, text):
    """Guards against a daemon that starts with half of its settings."""
    with pytest.raises(SettingsError):
        load(monkeypatch, tmp_path / "s.toml", text)


def test_missing_listener_is_named(monkeypatch, tmp_path):
    """Guards against an error that does not name the key."""
    settings = load(monkeypatch, tmp_path / "s.toml", SETTINGS.replace("frontend", "front"))
    with pytest.raises(BaobabstreamError, match=r"listen\.frontend"):
        settings.gateway()
