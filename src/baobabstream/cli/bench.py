"""Commands of the policy bench."""

import json
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from baobabstream.bench.decision_time import measure_decision_time
from baobabstream.bench.false_stops import count_false_stops
from baobabstream.bench.runner import POLICIES, run_workload
from baobabstream.bench.workloads import WORKLOADS, workload_named

__all__ = ["bench_app"]

bench_app = typer.Typer(help="Policy bench in virtual time.", no_args_is_help=True)
EXIT_UNKNOWN = 2
DEFAULT_REPLICAS = "10,100,1000"


@bench_app.command("list")
def list_workloads() -> None:
    """List the workloads."""
    for workload in WORKLOADS:
        typer.echo(f"{workload.name:20} {workload.summary}")


@bench_app.command()
def run(
    name: Annotated[str, typer.Argument(help="Workload, see the list.")],
    seeds: Annotated[str, typer.Option(help="Comma-separated seeds.")] = "1,2,3",
    policies: Annotated[str, typer.Option(help="Comma-separated policies.")] = ",".join(POLICIES),
    out: Annotated[Path | None, typer.Option(help="JSON file for the result.")] = None,
) -> None:
    """Run a workload under several policies and print a table."""
    workload = workload_named(name)
    if workload is None:
        typer.echo(f"error no workload {name}", err=True)
        raise typer.Exit(EXIT_UNKNOWN)
    try:
        numbers = [int(item) for item in seeds.split(",")]
        results = run_workload(workload, policies.split(","), numbers)
    except ValueError as error:
        typer.echo(f"error {error}", err=True)
        raise typer.Exit(EXIT_UNKNOWN) from error
    results["command"] = f"baobabstream bench run {name} --seeds {seeds} --policies {policies}"
    _write(results, out)
    _print_tables(results)


@bench_app.command("decision-time")
def decision_time(
    replicas: Annotated[str, typer.Option()] = DEFAULT_REPLICAS,
    out: Annotated[Path | None, typer.Option(help="JSON file for the result.")] = None,
) -> None:
    """Measure the time of a decision."""
    rows = measure_decision_time([int(item) for item in replicas.split(",")])
    command = f"baobabstream bench decision-time --replicas {replicas}"
    _write({"command": command, "rows": rows}, out)
    for row in rows:
        typer.echo("  ".join(f"{key} {value:g}" for key, value in row.items()))


@bench_app.command("false-stops")
def false_stops(
    rollouts: Annotated[int, typer.Option(help="Healthy rollouts of 10,000 answers.")] = 1000,
    seed: Annotated[int, typer.Option()] = 1,
    out: Annotated[Path | None, typer.Option(help="JSON file for the result.")] = None,
) -> None:
    """Count the healthy rollouts that the version tests stop."""
    stops = count_false_stops(rollouts, seed)
    command = f"baobabstream bench false-stops --rollouts {rollouts} --seed {seed}"
    _write({"command": command, "rollouts": rollouts, "stops": stops}, out)
    typer.echo(f"{stops} of {rollouts} healthy rollouts stopped")


def _write(results: dict[str, Any], out: Path | None) -> None:
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(json.dumps(results, indent=1) + "\n")


def _print_tables(results: dict[str, Any]) -> None:
    console = Console(width=140)
    policies = results["policies"]
    table = Table("figure (min / median / max)", *policies, title=results["workload"])
    for figure in next(iter(policies.values()))["figures"]:
        cells = []
        for policy in policies.values():
            spread = policy["figures"][figure]
            cells.append(f"{spread['min']:g} / {spread['median']:g} / {spread['max']:g}")
        table.add_row(figure, *cells)
    console.print(table)
    aims = Table("aim", "limit", *policies, title="aims, worst seed decides")
    for number, aim in enumerate(next(iter(policies.values()))["aims"]):
        cells = []
        for policy in policies.values():
            item = policy["aims"][number]
            values = " ".join(f"{value:.3g}" for value in item["values"])
            cells.append(f"{'pass' if item['passed'] else 'miss'} {values}")
        aims.add_row(aim["text"], f"{aim['limit']:g}", *cells)
    console.print(aims)
