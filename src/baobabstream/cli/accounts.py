"""Operator commands on client accounts and their allowances.

A *client account* identifies callers by an API key. Its *allowance* is the list of models and
services that it may use. A *plain service* is one whose backend servers are no model engines. A
*class of work* defines latency and quality targets for requests. *Fair queueing* divides the
capacity between client accounts with waiting requests in proportion to their weights.

The docstring of each command is its help text. The parameters become arguments and options, whose
help texts are in the annotations; ``session`` is passed by ``operator_command`` and holds the
options that all operator commands share. The configuration consists of *rows*, JSON objects with
the field ``type`` and a key of the form ``type/name``. A changed row is *in force* once every entry
host, a host that accepts requests of callers, has applied it.
"""

import hashlib
from typing import Annotated, Any

import typer

from baobabstream.cli.operator_session import OperatorSession, operator_command
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["account_app", "allowance_app"]

account_app = typer.Typer(help="Client accounts.", no_args_is_help=True)
allowance_app = typer.Typer(help="Models that client accounts may use.", no_args_is_help=True)

Models = Annotated[
    list[str] | None, typer.Option("--model", help="MODEL or MODEL@VERSION; repeatable.")
]
Services = Annotated[list[str] | None, typer.Option("--service", help="Plain service; repeatable.")]


@operator_command(account_app, "set", changes=True)
def account_set(
    session: OperatorSession,
    name: str,
    api_key: Annotated[
        str, typer.Option(envvar="BAOBABSTREAM_ACCOUNT_KEY", help="Only its digest is sent.")
    ],
    model: Models = None,
    service: Services = None,
    default_class: Annotated[str, typer.Option(help="Class of calls that name none.")] = "",
    share: Annotated[float, typer.Option(help="Weight in fair queueing.")] = 1.0,
    max_in_flight: Annotated[int, typer.Option(help="Most requests at once.")] = 1000,
) -> None:
    """Create or change a client account."""
    # Only the SHA-256 digest of the API key is sent, in hexadecimal digits. `share` is a weight
    # without unit, `max_in_flight` a number of requests.
    account_row = {
        "type": "account",
        "name": name,
        "key_digest": hashlib.sha256(api_key.encode()).hexdigest(),
        "models": model or [],
        "services": service or [],
        "default_class": default_class,
        "share": share,
        "max_in_flight": max_in_flight,
    }
    session.change([account_row])


@operator_command(account_app, "list")
def account_list(session: OperatorSession) -> None:
    """List client accounts."""
    rows = session.rows("account")
    # Digests of API keys are shown neither in tables nor in JSON.
    rows_without_digest = [{key: row[key] for key in row if key != "key_digest"} for row in rows]
    session.show(rows_without_digest, "client accounts")


@operator_command(account_app, "delete", changes=True)
def account_delete(session: OperatorSession, name: str) -> None:
    """Delete a client account; its requests are refused once this is in force."""
    session.change([], [f"account/{name}"])


@operator_command(allowance_app, "list")
def allowance_list(session: OperatorSession) -> None:
    """List the models and services that each client account may use."""
    rows = [
        {"account": row["name"], "models": row["models"], "services": row["services"]}
        for row in session.rows("account")
    ]
    session.show(rows, "allowances")


@operator_command(allowance_app, "add", changes=True)
def allowance_add(
    session: OperatorSession, account: str, model: Models = None, service: Services = None
) -> None:
    """Add models or services to the allowance of a client account."""
    row = _account_row(session, account)
    for key, added in (("models", model), ("services", service)):
        row[key] = sorted({*row[key], *(added or ())})
    session.change([row])


@operator_command(allowance_app, "remove", changes=True)
def allowance_remove(
    session: OperatorSession, account: str, model: Models = None, service: Services = None
) -> None:
    """Remove models or services from the allowance of a client account."""
    row = _account_row(session, account)
    for key, removed in (("models", model), ("services", service)):
        row[key] = [allowed for allowed in row[key] if allowed not in (removed or ())]
    session.change([row])


def _account_row(session: OperatorSession, name: str) -> dict[str, Any]:
    """Return the row of a client account in the form in which a change sends it.

    Its keys are those that ``account_set`` writes; ``models`` and ``services`` are the allowance.

    Raises
    ------
    RequestRefused
        ``NOT_FOUND`` if there is no such account.
    """
    for row in session.rows("account"):
        if row["name"] == name:
            # Rows that are read have the revision of their last change instead of their type.
            del row["revision"]
            return row | {"type": "account"}
    raise RequestRefused(ResultCode.NOT_FOUND, f"client account {name}")
