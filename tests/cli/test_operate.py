"""Tests what operator commands send and print, and their exit codes.

They run against fake control hosts, which replicate the configuration. It consists of rows, JSON
objects with a type. The revision is the number of the last change; a change is in force once every
host that accepts requests has applied it. A rollout replaces a model version step by step.
"""

import json

import pytest
from typer.testing import CliRunner

from baobabstream.cli import admin_client, rollouts
from baobabstream.cli.app import app
from baobabstream.cli.exit_codes import ExitCode, exit_code
from baobabstream.errors.exceptions import BaobabstreamError
from cli.fake_admin import admin_hosts, refusal

# Row of a client account.
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
# Configuration document that a control host returns.
CONFIG = {
    "revision": 4,
    "operator_revision": 3,
    "rows": [{"key": "account/desk", "revision": 2, "row": ACCOUNT}],
}


@pytest.fixture(autouse=True)
def _no_delays(monkeypatch):
    """Remove the pauses between repeated requests."""
    monkeypatch.setattr(admin_client, "RESEND_DELAY_S", 0.0)
    monkeypatch.setattr(rollouts, "WATCH_INTERVAL_S", 0.0)


def run(respond, *arguments, hosts=1):
    """Run the command with arguments against fake control hosts, and return its result.

    ``respond`` is called with method, path and body of each request; ``hosts`` is the number of
    control hosts. The exit code of a numbered error is set in the result.
    """
    with admin_hosts(respond, hosts) as urls:
        # Settings of the command; the key is any text.
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


class FakeControlHost:
    """Responds to reads with prepared documents, and records path and body of each change.

    The keyword arguments are documents by path.
    """

    def __init__(self, **documents):
        self.documents = {"config": CONFIG} | documents
        self.bodies = []

    def __call__(self, method, path, body):
        if method == "POST":
            self.bodies.append((path, body))
            return 200, {"revision": 5, "operator_revision": 5}
        return 200, self.documents[path.partition("?")[0]]


def test_change_is_resent_with_the_same_identity_through_another_host():
    """Guards against a change that is applied twice because its first response was lost."""
    bodies = []

    def respond(method, path, body):
        if method == "GET":
            return 200, CONFIG
        bodies.append(body)
        return None if len(bodies) == 1 else (200, {"revision": 5})

    assert run(respond, "class", "delete", "c", "--json", hosts=2).exit_code == 0
    # One lost and one repeated; the operator revision of CONFIG is the base revision.
    assert len(bodies) == 2
    assert bodies[0] == bodies[1]
    assert bodies[0]["base_revision"] == 3


@pytest.mark.parametrize(
    ("status", "code", "expected_exit_code"),
    # HTTP status and result code of the response; a proxy may send a code that is no result code.
    [
        (409, 2002, ExitCode.CONFLICT),
        (503, 2003, ExitCode.UNREACHABLE),
        (504, 2006, ExitCode.OUTCOME_UNKNOWN),
        (400, 2001, ExitCode.REFUSED),
        (502, "not a code of ours", ExitCode.UNREACHABLE),
        (500, 5003, ExitCode.STORAGE),
    ],
)
def test_refusals_end_with_their_exit_code(status, code, expected_exit_code):
    """Guards against exit codes with which scripts cannot tell a conflict from an outage."""
    result = run(lambda *_: refusal(status, code), "class", "list")
    assert result.exit_code == expected_exit_code


def test_account_key_is_sent_and_shown_only_as_a_digest_or_not_at_all():
    """Guards against API keys in the configuration, in tables and in JSON."""
    control_host = FakeControlHost()
    run(control_host, "account", "set", "desk", "--api-key", "caller-key", "--model", "small")
    assert "caller-key" not in json.dumps(control_host.bodies)
    # Hexadecimal digits of a SHA-256 digest.
    assert len(control_host.bodies[0][1]["put"][0]["key_digest"]) == 64
    for flags in ((), ("--json",)):
        output = run(control_host, "account", "list", *flags).output
        assert "desk" in output
        assert "digest-of-the-key" not in output


def test_allowances_are_added_and_removed():
    """Guards against an allowance change that drops other fields of the account."""
    control_host = FakeControlHost()
    run(control_host, "allowance", "add", "desk", "--model", "large@2", "--service", "waivers")
    run(control_host, "allowance", "remove", "desk", "--model", "small")
    added, removed = (body["put"][0] for _, body in control_host.bodies)
    assert added == ACCOUNT | {"models": ["large@2", "small"], "services": ["waivers"]}
    assert removed == ACCOUNT | {"models": []}
    assert run(control_host, "allowance", "add", "nobody").exit_code == ExitCode.REFUSED


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
def test_actions_are_sent_to_the_paths_of_the_api(arguments, path, fields):
    """Guards against a command whose path or fields the control hosts do not know."""
    control_host = FakeControlHost()
    assert run(control_host, *arguments).exit_code == 0
    sent_path, body = control_host.bodies[0]
    assert sent_path == path
    assert {key: body[key] for key in fields} == fields
    assert ("base_revision" in body) == (path != "quarantine/release")


@pytest.mark.parametrize(("in_force", "expected_exit_code"), [(True, 0), (False, ExitCode.NOT_YET)])
def test_wait_reports_whether_the_change_is_in_force(in_force, expected_exit_code):
    """Guards against a wait that reports a change as in force when it timed out."""
    status = {"entries": [{"applied_revision": 1}]}
    control_host = FakeControlHost(status=status, **{"in-force": {"in_force": in_force}})
    # Waits 10 ms; the fake host responds to the change with revision 5.
    result = run(control_host, "class", "delete", "c", "--wait", "0.01", "--json")
    assert result.exit_code == expected_exit_code
    assert json.loads(result.stdout)["in_force"] is in_force
    assert "revision 5" in result.stderr


def test_watch_ends_with_the_rollout():
    """Guards against a watch that does not end with the rollout or omits why it stopped."""
    row = {"type": "rollout", "name": "r", "state": "running", "step": 0, "share": 0.05}
    rows = [row | {"reason": ""}, row | {"state": "stopped", "reason": "ratings"}]

    def respond(method, path, body):
        current = rows.pop(0) if len(rows) > 1 else rows[0]
        return 200, {"rows": [{"key": "rollout/r", "revision": 1, "row": current}]}

    result = run(respond, "rollout", "watch", "r", "--json")
    assert result.exit_code == 0
    assert "stopped, step 0, share 0.05 ratings" in result.stderr


@pytest.mark.parametrize(
    ("arguments", "path"),
    [(("members",), "members"), (("bills", "--totals"), "bills/totals"),
     (("bills", "--account", "a b"), "bills"), (("quarantine", "list"), "quarantine")],
)  # fmt: skip
def test_reads_print_tables_and_json(arguments, path):
    """Guards against output that programs cannot parse."""
    control_host = FakeControlHost(
        **{path: [{"name": "x", "loaded": [{"model": "m", "version": "1"}]}]}
    )
    assert "m@1" in run(control_host, *arguments).output
    assert json.loads(run(control_host, *arguments, "--json").stdout)[0]["name"] == "x"
