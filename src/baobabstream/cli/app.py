"""The ``baobabstream`` command."""

import sys

import typer

from baobabstream.cli.check_settings import check_settings
from baobabstream.cli.daemons import control, entry
from baobabstream.cli.emulate import emulate_app
from baobabstream.cli.exit_codes import exit_code
from baobabstream.cli.operate import operate_app
from baobabstream.cli.timeline import explain, timeline
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["app", "main"]

app = typer.Typer(
    help="Model-aware router: daemons and operator client.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.command()(entry)
app.command()(control)
app.command()(timeline)
app.command()(explain)
app.command("check-settings")(check_settings)
app.add_typer(emulate_app, name="emulate")
app.registered_groups.extend(operate_app.registered_groups)
app.registered_commands.extend(operate_app.registered_commands)


def main() -> None:
    """Run the command; a numbered error ends it with its exit code."""
    try:
        app()
    except BaobabstreamError as error:
        typer.echo(f"error {error}", err=True)
        sys.exit(exit_code(error))


if __name__ == "__main__":
    main()
