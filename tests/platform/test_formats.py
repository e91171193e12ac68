"""Tests and fuzzes the decoders of configurations, announcements and the settings file."""

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

# Valid inputs, which the tests change.
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
# Small JSON values of any type.
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)


def test_configuration_is_decoded_with_names_and_units():
    """Guards against a field that is decoded under the wrong name or in the wrong unit."""
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


def test_route_of_unknown_kind_is_not_repeatable():
    """Guards against repeating requests of a route whose kind is unknown."""
    config = CONFIG | {"routes": [ROUTE | {"route_kind": "new"}]}
    document = read_document(json.dumps(config).encode())
    assert document.routes[0].kind is RouteKind.NON_IDEMPOTENT
    assert not document.routes[0].is_repeatable


@given(st.integers(0, 400))
def test_truncated_configuration_is_refused(length):
    """Guards against storing a part of a configuration."""
    text = json.dumps(CONFIG).encode()
    with pytest.raises(RequestRefused):
        read_document(text[: min(length, len(text) - 1)])


@given(st.sampled_from(sorted(ROUTE)), JSON)
def test_route_field_with_any_value_is_accepted_or_refused(name, value):
    """Guards against a value of another type that raises an unexpected exception."""
    config = CONFIG | {"routes": [ROUTE | {name: value}]}
    try:
        read_document(json.dumps(config).encode())
    except RequestRefused:
        return


@given(st.binary(max_size=200) | JSON.map(lambda value: json.dumps(value).encode()))
def test_random_bytes_are_refused_as_announcement(data):
    """Guards against decoding an unrelated message as an announcement."""
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
def test_announcement_with_an_invalid_field_is_refused(name, value):
    """Guards against a server whose announcement lacks valid data."""
    with pytest.raises(RequestRefused):
        read_announcement("i-1", json.dumps(HEARTBEAT | {name: value}).encode())


def test_announcement_is_decoded_completely():
    """Guards against a start time, sequence number or state that is lost."""
    row = read_announcement("i-1", json.dumps(HEARTBEAT | {"state": "draining"}).encode())
    assert (row.born_ms, row.sequence, row.state) == (1700000000000, 4, ServerState.DRAINING)


# Valid settings file with an unknown key.
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


def load_text(monkeypatch, path, text):
    """Write a settings file and load it by way of the environment variable."""
    path.write_text(text)
    monkeypatch.setenv(SETTINGS_PATH_VARIABLE, str(path))
    return load_platform_settings()


def test_settings_with_unknown_fields_are_accepted(monkeypatch, tmp_path):
    """Guards against refusing the file of a newer platform."""
    settings = load_text(monkeypatch, tmp_path / "s.toml", SETTINGS).gateway()
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
def test_invalid_settings_are_refused(monkeypatch, tmp_path, text):
    """Guards against a daemon that starts without some of its settings."""
    with pytest.raises(SettingsError):
        load_text(monkeypatch, tmp_path / "s.toml", text)


def test_error_names_the_missing_listener(monkeypatch, tmp_path):
    """Guards against an error that does not name the missing key."""
    settings = load_text(monkeypatch, tmp_path / "s.toml", SETTINGS.replace("frontend", "front"))
    with pytest.raises(BaobabstreamError, match=r"listen\.frontend"):
        settings.gateway()
