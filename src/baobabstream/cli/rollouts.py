"""Operator commands on rollouts.

A *rollout* replaces one version of a model by another in steps; each step sends a larger *share* of
the traffic, from 0 to 1, to the new version, and the rollout stops by itself if the new version is
worse. Its state is stored in a *row* of the configuration, a JSON object with the key
``rollout/name``, and *control hosts* serve the configuration. The docstring of each command is its
help text; ``session`` holds the options that all operator commands share.
"""

import asyncio
from typing import Annotated, Any

import typer

from baobabstream.cli.admin_client import AdminClient
from baobabstream.cli.exit_codes import ExitCode
from baobabstream.cli.operator_session import OperatorSession, operator_command
from baobabstream.cli.output import print_progress
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["rollout_app"]

rollout_app = typer.Typer(help="Rollouts of model versions.", no_args_is_help=True)

# Time in seconds between two reads of a watched rollout.
WATCH_INTERVAL_S = 0.5
# States in which a rollout does not change any more: the new version has all traffic, was worse, or
# an operator ended the rollout.
ENDED_STATES = frozenset({"completed", "stopped", "withdrawn"})


@operator_command(rollout_app, "start", changes=True)
def rollout_start(
    session: OperatorSession,
    name: str,
    model: Annotated[str, typer.Option()],
    from_version: Annotated[str, typer.Option(help="Version that is replaced.")],
    to_version: Annotated[str, typer.Option(help="Version that replaces it.")],
    step: Annotated[
        list[float] | None, typer.Option(help="Share of traffic, 0 to 1; repeatable, ends at 1.")
    ] = None,
    # In seconds.
    step_s: Annotated[float, typer.Option(help="Least time of each step.")] = 60.0,
) -> None:
    """Start to roll out a version in place of another."""
    row: dict[str, Any] = {
        "type": "rollout",
        "name": name,
        "model": model,
        "from_version": from_version,
        "to_version": to_version,
        "step_s": step_s,
    }
    # Without steps, the control hosts' default steps apply.
    session.change([row | ({"steps": step} if step else {})])


@operator_command(rollout_app, "list")
def rollout_list(session: OperatorSession) -> None:
    """List rollouts with state, step and share of traffic."""
    session.show(session.rows("rollout"), "rollouts")


@operator_command(rollout_app, "pause", changes=True)
def rollout_pause(session: OperatorSession, name: str) -> None:
    """Keep a rollout at its present share."""
    session.send_action("rollouts/pause", {"name": name})


@operator_command(rollout_app, "resume", changes=True)
def rollout_resume(session: OperatorSession, name: str) -> None:
    """Continue a paused rollout."""
    session.send_action("rollouts/resume", {"name": name})


@operator_command(rollout_app, "withdraw", changes=True)
def rollout_withdraw(session: OperatorSession, name: str) -> None:
    """End a rollout and send all traffic back to the version it was to replace."""
    session.send_action("rollouts/withdraw", {"name": name})


@operator_command(rollout_app, "delete", changes=True)
def rollout_delete(session: OperatorSession, name: str) -> None:
    """Delete the row of a rollout that has ended."""
    session.change([], [f"rollout/{name}"])


@operator_command(rollout_app, "watch")
def rollout_watch(
    session: OperatorSession,
    name: str,
    # In seconds.
    timeout_s: Annotated[float, typer.Option(help="Longest time to watch.")] = 3600.0,
) -> None:
    """Show each step of a rollout until it has ended."""
    row = session.call(lambda client: _poll_until_ended(client, name, timeout_s))
    session.show(row)
    if row["state"] not in ENDED_STATES:
        raise typer.Exit(ExitCode.NOT_YET)


async def _poll_until_ended(client: AdminClient, name: str, timeout_s: float) -> dict[str, Any]:
    """Print each change of a rollout until it has ended or ``timeout_s`` seconds have passed.

    Returns the last row of the rollout. Its ``step`` is the index of the current step from 0, its
    ``share`` the current share of the traffic, 0 to 1, and its ``reason`` says why it has its
    ``state``.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    printed_progress = None
    while True:
        row = _rollout_row(await client.get("/admin/v1/config"), name)
        current_progress = (row["state"], row["step"], row["share"], row["reason"])
        if current_progress != printed_progress:
            printed_progress = current_progress
            print_progress(f"{name}: {row['state']}, step {row['step']}, share {row['share']:g}"
                           f" {row['reason']}".rstrip())  # fmt: skip
        if row["state"] in ENDED_STATES or loop.time() >= deadline_s:
            return row
        await asyncio.sleep(WATCH_INTERVAL_S)


def _rollout_row(config: dict[str, Any], name: str) -> dict[str, Any]:
    """Return the row of a rollout in the configuration.

    ``config`` holds under ``rows`` objects with the ``key`` of a row and the ``row`` itself.

    Raises
    ------
    RequestRefused
        ``NOT_FOUND`` if there is no such rollout.
    """
    for stored in config["rows"]:
        if stored["key"] == f"rollout/{name}":
            return stored["row"]
    raise RequestRefused(ResultCode.NOT_FOUND, f"rollout {name}")
