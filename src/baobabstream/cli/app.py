"""The ``baobabstream`` command with all its subcommands.

An *entry* daemon accepts the requests of callers; a *control* daemon replicates the configuration.
An *emulated* backend server stands in for a real one. A *numbered error* is an exception with a
result code, from which the exit code follows. The *peer protocol* is the message format between
daemons. The *bench* compares scheduling policies in a simulation.
"""

import sys
from typing import Annotated

import typer

from baobabstream import __version__
from baobabstream.cli.bench import bench_app
from baobabstream.cli.check_settings import check_settings
from baobabstream.cli.daemons import control, entry
from baobabstream.cli.emulate import emulate_app
from baobabstream.cli.exit_codes import exit_code
from baobabstream.cli.operate import operate_app
from baobabstream.cli.timeline import explain, timeline
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.wire.protocol import PROTOCOL_VERSION

__all__ = ["app", "main"]

app = typer.Typer(
    help="Model-aware router: daemons and operator client.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)


def _show_version(is_requested: bool) -> None:
    """Print the version and end the command, if the option ``--version`` is given."""
    if is_requested:
        typer.echo(f"baobabstream {__version__}, peer protocol {PROTOCOL_VERSION}")
        raise typer.Exit


@app.callback()
def options(
    version: Annotated[
        bool,
        typer.Option(
            "--version", is_eager=True, callback=_show_version, help="Show the version and exit."
        ),
    ] = False,
) -> None:
    """Model-aware router: daemons and operator client."""


app.command()(entry)
app.command()(control)
app.command()(timeline)
app.command()(explain)
app.command("check-settings")(check_settings)
app.add_typer(emulate_app, name="emulate")
app.add_typer(bench_app, name="bench")
app.registered_groups.extend(operate_app.registered_groups)
app.registered_commands.extend(operate_app.registered_commands)


def main() -> None:
    """Run the command; a numbered error is printed and ends it with its exit code."""
    try:
        app()
    except BaobabstreamError as error:
        typer.echo(f"error {error}", err=True)
        sys.exit(exit_code(error))


if __name__ == "__main__":
    main()
