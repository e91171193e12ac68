"""The ``baobabstream`` command."""

import sys

import typer

from baobabstream.cli.bench import bench_app
from baobabstream.cli.daemons import control, entry
from baobabstream.cli.emulate import emulate_app
from baobabstream.cli.operate import operate_app
from baobabstream.cli.timeline import timeline
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
app.add_typer(emulate_app, name="emulate")
app.add_typer(bench_app, name="bench")
app.registered_groups.extend(operate_app.registered_groups)
app.registered_commands.extend(operate_app.registered_commands)

EXIT_REFUSED = 3


def main() -> None:
    """Run the command; a numbered error ends it with exit code 3."""
    try:
        app()
    except BaobabstreamError as error:
        typer.echo(f"error {error}", err=True)
        sys.exit(EXIT_REFUSED)


if __name__ == "__main__":
    main()
