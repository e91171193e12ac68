"""Commands that run stand-in backend servers."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from baobabstream.cli.run_daemon import stop_event
from baobabstream.emulator.announcer import Announcer
from baobabstream.emulator.engine import EngineApp, EngineOptions
from baobabstream.telemetry.logs import configure_logging
from baobabstream.wire.rows import LoadedVersion

__all__ = ["emulate_app"]

emulate_app = typer.Typer(help="Stand-in backend servers for development.", no_args_is_help=True)


@emulate_app.callback()
def emulate() -> None:
    """Stand-in backend servers for development."""


@emulate_app.command()
def engine(
    identity: Annotated[str, typer.Option()],
    port: Annotated[int, typer.Option()],
    load: Annotated[list[str], typer.Option(help="MODEL@VERSION, may be repeated.")],
    control_url: Annotated[list[str], typer.Option(help="Control host, may be repeated.")],
    backend_key: Annotated[str, typer.Option(envvar="BAOBABSTREAM_BACKEND_KEY")],
    availability_zone: Annotated[str, typer.Option()] = "zone-a",
    ip: Annotated[str, typer.Option()] = "127.0.0.1",
    token_gap_s: Annotated[float, typer.Option()] = 0.005,
    timeline_file: Annotated[Path | None, typer.Option()] = None,
) -> None:
    """Run a stand-in model engine."""
    configure_logging("INFO", False, identity)
    loaded = tuple(LoadedVersion(*item.split("@", 1)) for item in load)
    options = EngineOptions(
        identity,
        ip,
        port,
        availability_zone,
        loaded,
        token_gap_s=token_gap_s,
        timeline_path=timeline_file,
    )
    asyncio.run(_run_engine(options, Announcer(control_url, backend_key)))


async def _run_engine(options: EngineOptions, announcer: Announcer) -> None:
    await EngineApp(options).run(announcer, stop_event())
