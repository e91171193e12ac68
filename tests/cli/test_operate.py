"""Operator commands: what they send, what they print, and how they end."""

import json

import pytest
from typer.testing import CliRunner

from baobabstream.cli import admin_client, rollouts
from baobabstream.cli.app import app
from baobabstream.cli.exit_codes import ExitCode, exit_code
from baobabstream.errors.exceptions import BaobabstreamError
from cli.fake_admin import admin_hosts, refusal

ACCOUNT = {
    "type": "account",
    "name": "desk",
    "key_digest": "digest-of-the-key",
    "models": ["small"],
    "services": [],
    "default_class": "",
    "share": 1.0,
    "max_in_flight": 10,
}
CONFIG = {
    "revision": 4,
    "operator_revision": 3,
    "rows": [{"key": "account/desk", "revision": 2, "row": ACCOUNT}],
}


@pytest.fixture(autouse=True)
def _no_delays(monkeypatch):
    monkeypatch.setattr(admin_client, "RESEND_DELAY_S", 0.0)
    monkeypatch.setattr(rollouts, "WATCH_INTERVAL_S", 0.0)


def run(answer, *arguments, hosts=1):
    with admin_hosts(answer, hosts) as urls:
        environment = {
            "BAOBABSTREAM_CONTROL_URLS": " ".join(urls),
            "BAOBABSTREAM_OPERATOR_KEY": "k" * 16,
        }
        result = CliRunner().invoke(app, arguments, env=environment)
    if isinstance(result.exception, BaobabstreamError):
        result.exit_code = exit_code(result.exception)
    elif result.exception is not None and not isinstance(result.exception, SystemExit):
        raise result.exception
    return result


class Host:
    """Answers reads with documents and keeps the bodies of changes."""

    def __init__(self, **documents):
        self.documents = {"config": CONFIG} | documents
        self.bodies = []

    def __call__(self, method, path, body):
        if method == "POST":
            self.bodies.append((path, body))
            return 200, {"revision": 5, "operator_revision": 5}
        return 200, self.documents[path.partition("?")[0]]


def test_change_is_resent_with_the_same_identity_through_another_host():
    """Guards against a change applied twice after a lost answer."""
    bodies = []

    def answer(method, path, body):
        if method == "GET":
            return 200, CONFIG
        bodies.append(body)
        return None if len(bodies) == 1 else (200, {"revision": 5})

    assert run(answer, "class", "delete", "c", "--json", hosts=2).exit_code == 0
    assert len(bodies) == 2
    assert bodies[0] == bodies[1]
    assert bodies[0]["base_revision"] == 3


@pytest.mark.parametrize(
    ("status", "code", "expected"),
    [
        (409, 2002, ExitCode.CONFLICT),
        (503, 2003, ExitCode.UNREACHABLE),
        (504, 2006, ExitCode.OUTCOME_UNKNOWN),
        (400, 2001, ExitCode.REFUSED),
    ],
)
def test_refusals_end_with_their_exit_code(status, code, expected):
    """Guards against scripts that take a conflict for an outage."""
    result = run(lambda *_: refusal(status, code), "class", "list")
    assert result.exit_code == expected


def test_account_key_is_sent_and_shown_only_as_a_digest_or_not_at_all():
    """Guards against API keys in the configuration, in tables and in JSON."""
    host = Host()
    run(host, "account", "set", "desk", "--api-key", "caller-key", "--model", "small")
    assert "caller-key" not in json.dumps(host.bodies)
    assert len(host.bodies[0][1]["put"][0]["key_digest"]) == 64
    for flags in ((), ("--json",)):
        shown = run(host, "account", "list", *flags).output
        assert "desk" in shown
        assert "digest-of-the-key" not in shown


def test_allowances_are_added_and_removed():
    """Guards against an allowance change that drops other fields of the account."""
    host = Host()
    run(host, "allowance", "add", "desk", "--model", "large@2", "--service", "waivers")
    run(host, "allowance", "remove", "desk", "--model", "small")
    added, removed = (body["put"][0] for _, body in host.bodies)
    assert added == ACCOUNT | {"models": ["large@2", "small"], "services": ["waivers"]}
    assert removed == ACCOUNT | {"models": []}
    assert run(host, "allowance", "add", "nobody").exit_code == ExitCode.REFUSED


@pytest.mark.parametrize(
    ("arguments", "path", "fields"),
    [
        (("version", "withdraw", "m", "1"), "versions/withdraw", {"model": "m", "version": "1"}),
        (("rollout", "pause", "r"), "rollouts/pause", {"name": "r"}),
        (("rollout", "resume", "r"), "rollouts/resume", {"name": "r"}),
        (("rollout", "withdraw", "r"), "rollouts/withdraw", {"name": "r"}),
        (("quarantine", "release", "f"), "quarantine/release", {"fingerprint": "f"}),
    ],
)
def test_actions_use_the_agreed_paths(arguments, path, fields):
    """Guards against a client and a control host that disagree on a path or field."""
    host = Host()
    assert run(host, *arguments).exit_code == 0
    sent_path, body = host.bodies[0]
    assert sent_path == path
    assert {key: body[key] for key in fields} == fields
    assert ("base_revision" in body) == (path != "quarantine/release")


@pytest.mark.parametrize(("in_force", "expected"), [(True, 0), (False, ExitCode.NOT_YET)])
def test_wait_reports_whether_the_change_is_in_force(in_force, expected):
    """Guards against a wait that ends as if the change were in force."""
    status = {"entries": [{"applied_revision": 1}]}
    host = Host(status=status, **{"in-force": {"in_force": in_force}})
    result = run(host, "class", "delete", "c", "--wait", "0.01", "--json")
    assert result.exit_code == expected
    assert json.loads(result.stdout)["in_force"] is in_force
    assert "revision 5" in result.stderr


def test_watch_ends_with_the_rollout():
    """Guards against a watch that misses the end or hides the reason of a stop."""
    row = {"type": "rollout", "name": "r", "state": "running", "step": 0, "share": 0.05}
    rows = [row | {"reason": ""}, row | {"state": "stopped", "reason": "ratings"}]

    def answer(method, path, body):
        current = rows.pop(0) if len(rows) > 1 else rows[0]
        return 200, {"rows": [{"key": "rollout/r", "revision": 1, "row": current}]}

    result = run(answer, "rollout", "watch", "r", "--json")
    assert result.exit_code == 0
    assert "stopped, step 0, share 0.05 ratings" in result.stderr


@pytest.mark.parametrize(
    ("arguments", "path"),
    [(("members",), "members"), (("bills", "--totals"), "bills/totals"),
     (("bills", "--account", "a b"), "bills"), (("quarantine", "list"), "quarantine")],
)  # fmt: skip
def test_reads_print_tables_and_json(arguments, path):
    """Guards against output that programs cannot parse."""
    host = Host(**{path: [{"name": "x", "loaded": [{"model": "m", "version": "1"}]}]})
    assert "m@1" in run(host, *arguments).output
    assert json.loads(run(host, *arguments, "--json").stdout)[0]["name"] == "x"
