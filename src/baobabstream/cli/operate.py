"""Operator commands: accounts, classes, versions, status, bills."""

import hashlib
import json
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from baobabstream.cli.admin_client import with_client

__all__ = ["operate_app"]

operate_app = typer.Typer(no_args_is_help=True)
account_app = typer.Typer(help="Client accounts.", no_args_is_help=True)
class_app = typer.Typer(help="Classes of work and their targets.", no_args_is_help=True)
version_app = typer.Typer(help="Model versions.", no_args_is_help=True)
operate_app.add_typer(account_app, name="account")
operate_app.add_typer(class_app, name="class")
operate_app.add_typer(version_app, name="version")

Urls = Annotated[list[str], typer.Option("--control-url", envvar="BAOBABSTREAM_CONTROL_URLS")]
Key = Annotated[str, typer.Option("--key", envvar="BAOBABSTREAM_OPERATOR_KEY")]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Base = Annotated[int | None, typer.Option("--base-revision")]


def _print(document: Any, as_json: bool) -> None:
    if as_json:
        typer.echo(json.dumps(document))
        return
    rows = document if isinstance(document, list) else [document]
    if not rows:
        typer.echo("nothing to show")
        return
    table = Table()
    for column in rows[0]:
        table.add_column(column)
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console().print(table)


def _change(urls: list[str], key: str, row: dict[str, Any], base: int | None, as_json: bool):
    _print(with_client(urls, key, lambda client: client.change([row], base_revision=base)), as_json)


@account_app.command("set")
def account_set(
    name: str,
    api_key: Annotated[str, typer.Option(envvar="BAOBABSTREAM_ACCOUNT_KEY")],
    control_url: Urls,
    key: Key,
    model: Annotated[
        list[str], typer.Option(help="MODEL or MODEL@VERSION; repeatable.")
    ] = [],  # noqa: B006
    service: Annotated[list[str], typer.Option()] = [],  # noqa: B006
    default_class: Annotated[str, typer.Option()] = "",
    share: Annotated[float, typer.Option()] = 1.0,
    base_revision: Base = None,
    as_json: AsJson = False,
) -> None:
    """Create or change a client account."""
    row = {
        "type": "account",
        "name": name,
        "key_digest": hashlib.sha256(api_key.encode()).hexdigest(),
        "models": model,
        "services": service,
        "default_class": default_class,
        "share": share,
    }
    _change(control_url, key, row, base_revision, as_json)


@class_app.command("set")
def class_set(
    name: str,
    quality: Annotated[float, typer.Option()],
    first_token_ms: Annotated[float, typer.Option()],
    total_ms: Annotated[float, typer.Option()],
    control_url: Urls,
    key: Key,
    cost_per_1k_tokens: Annotated[float, typer.Option()] = 0.0,
    priority: Annotated[int, typer.Option()] = 0,
    base_revision: Base = None,
    as_json: AsJson = False,
) -> None:
    """Create or change a class of work and its targets."""
    row = {
        "type": "class",
        "name": name,
        "quality": quality,
        "first_token_ms": first_token_ms,
        "total_ms": total_ms,
        "cost_per_1k_tokens": cost_per_1k_tokens,
        "priority": priority,
    }
    _change(control_url, key, row, base_revision, as_json)


@version_app.command("set")
def version_set(
    model: str,
    version: str,
    cost_per_1k_tokens: Annotated[float, typer.Option()],
    control_url: Urls,
    key: Key,
    prior_quality: Annotated[float, typer.Option()] = 0.9,
    base_revision: Base = None,
    as_json: AsJson = False,
) -> None:
    """Create or change a model version."""
    row = {
        "type": "version",
        "model": model,
        "version": version,
        "cost_per_1k_tokens": cost_per_1k_tokens,
        "prior_quality": prior_quality,
    }
    _change(control_url, key, row, base_revision, as_json)


@operate_app.command()
def status(control_url: Urls, key: Key, as_json: AsJson = False) -> None:
    """Show leader, revision, entry hosts and backend servers."""
    _print(with_client(control_url, key, lambda client: client.get("/admin/v1/status")), as_json)


@operate_app.command()
def bills(control_url: Urls, key: Key, as_json: AsJson = False) -> None:
    """Show the billing ledger."""
    _print(with_client(control_url, key, lambda client: client.get("/admin/v1/bills")), as_json)
