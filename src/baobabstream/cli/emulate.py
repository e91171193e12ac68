"""Commands that run emulated backend servers, for development and tests.

Three kinds are emulated: an *engine*, which runs language models; a *plain service*, which answers
other HTTP calls; and a *rating service*, which rates answers. Each engine and service announces
itself regularly to the *control hosts*, which manage the configuration and the registry of backend
servers. The docstring of each command is its help text.

Terms of the options: ``--load`` names the model versions that an engine has loaded. Prefill is the
processing of the prompt before the first output token. The prefix cache keeps the state of prompts
that were processed, and an engine reports its content as cache events. With fencing, an engine
refuses an order, such as to load a version, whose number is lower than one that it has seen. A load
report is the part of an announcement that says how many requests and tokens an engine has to
process. A slot is the place of one request among those that an engine runs at the same time.
``--bad-share`` is the share of wrong answers of a version, 0 to 1. Faults are errors and delays
that are injected on purpose. Options that end in ``_s`` are in seconds, in ``_per_s`` per second,
in ``_tokens`` in tokens; a loss or noise is a share from 0 to 1.
"""

from pathlib import Path
from typing import Annotated

import typer
import uvloop

from baobabstream.cli.run_daemon import stop_event
from baobabstream.emulator.announcer import Announcer
from baobabstream.emulator.engine import EngineApp, EngineOptions
from baobabstream.emulator.engine_options import CRASH_MARKER
from baobabstream.emulator.faults import Faults
from baobabstream.emulator.rating import RatingApp, RatingOptions
from baobabstream.emulator.service import ServiceApp, ServiceOptions
from baobabstream.telemetry.logs import configure_logging
from baobabstream.wire.rows import LoadedVersion

__all__ = ["emulate_app"]

emulate_app = typer.Typer(help="Emulated backend servers for development.", no_args_is_help=True)

# Unique name of the backend server.
Identity = Annotated[str, typer.Option()]
# Port and IP address that the backend server listens on.
Port = Annotated[int, typer.Option()]
Ip = Annotated[str, typer.Option()]
ControlUrls = Annotated[list[str], typer.Option(help="Control host, may be repeated.")]
# Key that control hosts require of backend servers.
BackendKey = Annotated[str, typer.Option(envvar="BAOBABSTREAM_BACKEND_KEY")]
CaFile = Annotated[
    Path | None,
    typer.Option(envvar="BAOBABSTREAM_CA_FILE", help="Authority of https control hosts."),
]
# Availability zone that the backend server announces.
Zone = Annotated[str, typer.Option()]
# File for the event timeline, a record of what the backend server did; none by default.
TimelineFile = Annotated[Path | None, typer.Option()]
FaultText = Annotated[str, typer.Option(help="Faults from the start, as JSON.")]
Seed = Annotated[int, typer.Option(help="Seed of the randomness of the faults.")]


@emulate_app.callback()
def emulate() -> None:
    """Emulated backend servers for development."""


@emulate_app.command()
def engine(
    identity: Identity,
    port: Port,
    load: Annotated[list[str], typer.Option(help="MODEL@VERSION, may be repeated.")],
    control_url: ControlUrls,
    backend_key: BackendKey,
    availability_zone: Zone = "zone-a",
    ip: Ip = "127.0.0.1",
    # Time to the first token without prefill and waiting, and between two tokens of an answer.
    first_token_s: Annotated[float, typer.Option()] = 0.02,
    token_gap_s: Annotated[float, typer.Option()] = 0.005,
    # Number of requests that run at the same time.
    slots: Annotated[int, typer.Option()] = 8,
    tokens_per_s: Annotated[float, typer.Option(help="Rate of the whole batch.")] = 1600.0,
    # Prompt tokens processed per second.
    prefill_tokens_per_s: Annotated[float, typer.Option()] = 20_000.0,
    cache_tokens: Annotated[int, typer.Option(help="Memory of the prefix cache.")] = 50_000,
    # Time until a cache event is reported.
    cache_event_delay_s: Annotated[float, typer.Option()] = 1.0,
    cache_event_loss: Annotated[float, typer.Option(help="Share of lost events.")] = 0.1,
    report_lag_s: Annotated[float, typer.Option(help="Age of load reports.")] = 1.0,
    load_s: Annotated[float, typer.Option(help="Time to load a version.")] = 1.0,
    fencing: Annotated[bool, typer.Option(help="Refuse orders with an old number.")] = True,
    crash_marker: Annotated[str, typer.Option(help="Prompt text that ends it.")] = CRASH_MARKER,
    bad_share: Annotated[
        list[str] | None, typer.Option(help="MODEL@VERSION=SHARE, may be repeated.")
    ] = None,
    faults: FaultText = "{}",
    seed: Seed = 1,
    timeline_file: TimelineFile = None,
    ca_file: CaFile = None,
) -> None:
    """Run an emulated model engine."""
    # Level INFO, plain text instead of JSON.
    configure_logging("INFO", False, identity)
    options = EngineOptions(
        identity,
        ip,
        port,
        availability_zone,
        # MODEL@VERSION; the version may contain further "@".
        tuple(LoadedVersion(*model_version.split("@", 1)) for model_version in load),
        first_token_s=first_token_s,
        token_gap_s=token_gap_s,
        slots=slots,
        timeline_path=timeline_file,
        tokens_per_s=tokens_per_s,
        prefill_tokens_per_s=prefill_tokens_per_s,
        cache_tokens=cache_tokens,
        cache_event_delay_s=cache_event_delay_s,
        cache_event_loss=cache_event_loss,
        report_lag_s=report_lag_s,
        load_s=load_s,
        honours_fencing=fencing,
        crash_marker=crash_marker,
        bad_shares=dict(_parse_share(assignment) for assignment in bad_share or ()),
        faults=Faults.model_validate_json(faults),
        seed=seed,
    )

    async def run_until_stopped() -> None:
        await EngineApp(options).run(Announcer(control_url, backend_key, ca_file), stop_event())

    uvloop.run(run_until_stopped())


@emulate_app.command()
def service(
    identity: Identity,
    port: Port,
    service: Annotated[str, typer.Option(help="Name of the service.")],
    control_url: ControlUrls,
    backend_key: BackendKey,
    availability_zone: Zone = "zone-a",
    ip: Ip = "127.0.0.1",
    work_s: Annotated[float, typer.Option(help="Time that a call takes.")] = 0.01,
    faults: FaultText = "{}",
    seed: Seed = 1,
    timeline_file: TimelineFile = None,
    ca_file: CaFile = None,
) -> None:
    """Run an emulated plain service that records each run of a call."""
    # Level INFO, plain text instead of JSON.
    configure_logging("INFO", False, identity)
    options = ServiceOptions(
        identity,
        ip,
        port,
        availability_zone,
        service,
        work_s=work_s,
        timeline_path=timeline_file,
        faults=Faults.model_validate_json(faults),
        seed=seed,
    )

    async def run_until_stopped() -> None:
        await ServiceApp(options).run(Announcer(control_url, backend_key, ca_file), stop_event())

    uvloop.run(run_until_stopped())


@emulate_app.command()
def rating(
    port: Port,
    ip: Ip = "127.0.0.1",
    work_s: Annotated[float, typer.Option(help="Time that a rating takes.")] = 0.01,
    noise: Annotated[float, typer.Option(help="Share of wrong ratings.")] = 0.0,
    faults: FaultText = "{}",
    seed: Seed = 1,
) -> None:
    """Run an emulated rating service."""
    # Level INFO, plain text instead of JSON.
    configure_logging("INFO", False, "rating")
    options = RatingOptions(ip, port, work_s, noise, Faults.model_validate_json(faults), seed)

    async def run_until_stopped() -> None:
        await RatingApp(options).run(stop_event())

    uvloop.run(run_until_stopped())


def _parse_share(assignment: str) -> tuple[str, float]:
    """Split MODEL@VERSION=SHARE into the model version and its share of wrong answers, 0 to 1."""
    model_version, _, share = assignment.rpartition("=")
    return model_version, float(share)
