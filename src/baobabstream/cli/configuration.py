"""Operator commands on classes of work, model versions and routes to plain services.

A *class of work* defines quality and latency targets, a cost limit and a priority for the requests
that name it. *Quality* is the share of answers, 0 to 1, that are rated good. A *cost* is a plain
number; the configuration names no currency. A *model version* is one version of a model that
engines, the backend servers for models, can load. A *plain service* is one whose backend servers
are no model engines; a *route* maps a path prefix to it.

The docstring of each command is its help text. The parameters become arguments and options, whose
help texts are in the annotations; ``session`` is passed by ``operator_command`` and holds the
options that all operator commands share. The configuration consists of *rows*, JSON objects with
the field ``type`` and a key of the form ``type/name``. A changed row is *in force* once every entry
host, a host that accepts requests of callers, has applied it.
"""

from typing import Annotated

import typer

from baobabstream.cli.operator_session import OperatorSession, operator_command

__all__ = ["class_app", "route_app", "version_app"]

class_app = typer.Typer(help="Classes of work and their targets.", no_args_is_help=True)
version_app = typer.Typer(help="Model versions.", no_args_is_help=True)
route_app = typer.Typer(help="Routes to plain services.", no_args_is_help=True)


@operator_command(class_app, "set", changes=True)
def class_set(
    session: OperatorSession,
    name: str,
    # Latency targets are 95th percentiles in milliseconds: until the first token of the response,
    # and until its end.
    quality: Annotated[float, typer.Option(help="Least share of good answers, 0 to 1.")],
    first_token_ms: Annotated[float, typer.Option(help="Target for 95 in 100.")],
    total_ms: Annotated[float, typer.Option(help="Target for 95 in 100.")],
    cost_per_1k_tokens: Annotated[float, typer.Option(help="Most cost; 0 for no limit.")] = 0.0,
    priority: Annotated[int, typer.Option(help="Higher runs first.")] = 0,
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
    session.change([row])


@operator_command(class_app, "list")
def class_list(session: OperatorSession) -> None:
    """List classes of work."""
    session.show(session.rows("class"), "classes of work")


@operator_command(class_app, "delete", changes=True)
def class_delete(session: OperatorSession, name: str) -> None:
    """Delete a class of work."""
    session.change([], [f"class/{name}"])


@operator_command(version_app, "set", changes=True)
def version_set(
    session: OperatorSession,
    model: str,
    version: str,
    cost_per_1k_tokens: Annotated[float, typer.Option(help="Cost of 1,000 output tokens.")],
    # Assumed share of good answers, 0 to 1, until there are ratings of the version's answers.
    prior_quality: Annotated[float, typer.Option(help="Quality before ratings.")] = 0.9,
) -> None:
    """Create or change a model version."""
    row = {
        "type": "version",
        "model": model,
        "version": version,
        "cost_per_1k_tokens": cost_per_1k_tokens,
        "prior_quality": prior_quality,
    }
    session.change([row])


@operator_command(version_app, "list")
def version_list(session: OperatorSession) -> None:
    """List model versions and their states."""
    session.show(session.rows("version"), "model versions")


@operator_command(version_app, "withdraw", changes=True)
def version_withdraw(session: OperatorSession, model: str, version: str) -> None:
    """Withdraw a version permanently; it gets no new requests once this is in force."""
    session.send_action("versions/withdraw", {"model": model, "version": version})


@operator_command(version_app, "delete", changes=True)
def version_delete(session: OperatorSession, model: str, version: str) -> None:
    """Delete a model version."""
    session.change([], [f"version/{model}@{version}"])


@operator_command(route_app, "set", changes=True)
def route_set(
    session: OperatorSession,
    name: str,
    service: Annotated[str, typer.Option(help="Name that the service announces.")],
    path_prefix: Annotated[str, typer.Option(help="Paths that the route takes.")],
    method: Annotated[list[str] | None, typer.Option(help="HTTP method; repeatable.")] = None,
    idempotent: Annotated[bool, typer.Option(help="Whether calls may be repeated.")] = False,
    # In seconds.
    timeout_s: Annotated[float, typer.Option(help="Limit on one call.")] = 30.0,
) -> None:
    """Create or change a route to a plain service."""
    row = {
        "type": "route",
        "name": name,
        "service": service,
        "path_prefix": path_prefix,
        "methods": method or ["GET", "POST"],
        "idempotent": idempotent,
        "timeout_s": timeout_s,
    }
    session.change([row])


@operator_command(route_app, "list")
def route_list(session: OperatorSession) -> None:
    """List routes to plain services."""
    session.show(session.rows("route"), "routes")


@operator_command(route_app, "delete", changes=True)
def route_delete(session: OperatorSession, name: str) -> None:
    """Delete a route."""
    session.change([], [f"route/{name}"])
