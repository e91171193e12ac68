"""Operator commands on the whole cluster: status, members, bills, quarantine, waiting."""

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
    document = session.get("status")
    if session.as_json:
        session.show(document)
        return
    lists: dict[str, Any] = {"entries": [], "backends": []}
    print_table([{key: document[key] for key in document if key not in lists}], "control")
    print_table(document["entries"], "entry hosts")
    print_table(document["backends"], "backend servers")


@operator_command(operate_app, "members")
def members(session: OperatorSession) -> None:
    """Show the members of the replicated log."""
    session.show(session.get("members"), "members")


@operator_command(operate_app, "bills")
def bills(
    session: OperatorSession,
    account: Annotated[str, typer.Option(help="Only this client account.")] = "",
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
    """Let a quarantined request run again."""
    session.act("quarantine/release", {"fingerprint": fingerprint}, based=False)
