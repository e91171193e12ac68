"""Operator commands on the whole cluster: status, members, bills, quarantine, waiting.

*Control hosts* replicate the configuration in a log; they are its members, and the leader among
them decides the changes. The *revision* is the number of the last change; it is in force once every
*entry host*, a host that accepts the requests of callers, has applied it. A *bill* is the record of
one answered request in the billing ledger. A request that ran on a backend server when that failed
is a *suspect*; after repeated failures it is *quarantined*, which means that it is not executed
again. Its *fingerprint* identifies its content. The docstring of each command is its help text;
``session`` holds the options that all operator commands share.
"""

from typing import Annotated, Any
from urllib.parse import urlencode

import typer

from baobabstream.cli.accounts import account_app, allowance_app
from baobabstream.cli.configuration import class_app, route_app, version_app
from baobabstream.cli.exit_codes import ExitCode
from baobabstream.cli.operator_session import OperatorSession, operator_command
from baobabstream.cli.output import print_table
from baobabstream.cli.rollouts import rollout_app

__all__ = ["operate_app"]

# Columns of the tables of `status`; with --json all fields are printed. `draining` says that an
# entry host finishes its requests and accepts no new ones. `loaded` are the model versions on a
# backend server, `slots` the number of requests that it runs at once, `in_flight` the number of
# requests that wait or run there, and `queued_tokens` the number of tokens that it still has to
# process.
ENTRY_COLUMNS = ("host", "availability_zone", "applied_revision", "draining")
BACKEND_COLUMNS = (
    "identity",
    "kind",
    "availability_zone",
    "service",
    "loaded",
    "slots",
    "in_flight",
    "queued_tokens",
    "url",
)

operate_app = typer.Typer(no_args_is_help=True)
quarantine_app = typer.Typer(help="Requests that crashed backend servers.", no_args_is_help=True)
operate_app.add_typer(account_app, name="account")
operate_app.add_typer(allowance_app, name="allowance")
operate_app.add_typer(class_app, name="class")
operate_app.add_typer(version_app, name="version")
operate_app.add_typer(route_app, name="route")
operate_app.add_typer(rollout_app, name="rollout")
operate_app.add_typer(quarantine_app, name="quarantine")


@operator_command(operate_app, "status")
def status(session: OperatorSession) -> None:
    """Show leader, revision, entry hosts and backend servers."""
    # `entries` and `backends` are lists of rows, whose keys are the names of columns; the other
    # fields are single values, such as `leader` and `revision`.
    document = session.get("status")
    if session.as_json:
        session.show(document)
        return
    # Fields that are tables of their own; all others form the table of the control group.
    nested_tables: dict[str, Any] = {"entries": [], "backends": []}
    print_table([{key: document[key] for key in document if key not in nested_tables}], "control")
    print_table(_select_columns(document["entries"], ENTRY_COLUMNS), "entry hosts")
    print_table(_select_columns(document["backends"], BACKEND_COLUMNS), "backend servers")


def _select_columns(rows: list[dict[str, Any]], names: tuple[str, ...]) -> list[dict[str, Any]]:
    """Return the rows with only the named columns; a missing value is None."""
    return [{name: row.get(name) for name in names} for row in rows]


@operator_command(operate_app, "members")
def members(session: OperatorSession) -> None:
    """Show the members of the replicated log."""
    session.show(session.get("members"), "members")


@operator_command(operate_app, "bills")
def bills(
    session: OperatorSession,
    account: Annotated[str, typer.Option(help="Only this client account.")] = "",
    # Milliseconds since the Unix epoch.
    since_ms: Annotated[int, typer.Option(help="Only bills from this wall time on.")] = 0,
    limit: Annotated[int, typer.Option(help="Most bills to show.")] = 1000,
    totals: Annotated[bool, typer.Option(help="Sums by client account instead.")] = False,
) -> None:
    """Show the billing ledger."""
    if totals:
        session.show(session.get("bills/totals"), "totals")
        return
    query = {"since_ms": since_ms, "limit": limit} | ({"account": account} if account else {})
    session.show(session.get(f"bills?{urlencode(query)}"), "bills")


@operator_command(operate_app, "wait")
def wait(
    session: OperatorSession,
    revision: Annotated[int | None, typer.Argument(help="Default: the present one.")] = None,
    # In seconds.
    timeout_s: Annotated[float, typer.Option(help="Longest time to wait.")] = 30.0,
) -> None:
    """Wait until a revision is in force on every entry host."""
    if revision is None:
        revision = int(session.get("config")["revision"])
    in_force = session.wait_in_force(revision, timeout_s)
    session.show({"revision": revision, "in_force": in_force})
    if not in_force:
        raise typer.Exit(ExitCode.NOT_YET)


@operator_command(quarantine_app, "list")
def quarantine_list(session: OperatorSession) -> None:
    """List suspects and quarantined requests."""
    session.show(session.get("quarantine"), "quarantine")


@operator_command(quarantine_app, "release", changes=True)
def quarantine_release(session: OperatorSession, fingerprint: str) -> None:
    """Allow a quarantined request to be executed again."""
    session.send_action("quarantine/release", {"fingerprint": fingerprint}, has_base_revision=False)
