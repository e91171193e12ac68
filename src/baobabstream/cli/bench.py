"""Commands of the policy bench, which compares scheduling policies in a simulation.

A *policy* decides which backend server gets a request. A *workload* is a scenario of simulated
requests and servers; it runs in virtual time, once per *seed* of its randomness. A *figure* is a
measured quantity, such as the 99th percentile of a latency; an *aim* is a limit that a figure has
to keep. A *rollout* moves traffic to a new model version step by step, and a *version test* is the
statistical test that stops it if the version is worse; a stop of a healthy rollout is a false
alarm. A *replica* is a backend server with a copy of a model. The docstring of each command is its
help text.

Numbers have no separate unit. The name of a figure ends in its unit, such as ``_ms`` or ``_per_s``;
without one it is a share from 0 to 1, a count or a cost. The text of an aim names the unit of its
limit and values in words; without one they are a share, a count, or a ratio or difference of two
numbers.
"""

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
# Exit code for an unknown workload, policy or seed, as for other wrong arguments.
EXIT_USAGE = 2
# Numbers of replicas for which the decision time is measured.
DEFAULT_REPLICA_COUNTS = "10,100,1000"


@bench_app.command("list")
def list_workloads() -> None:
    """List the workloads."""
    for workload in WORKLOADS:
        # Names are padded to 20 columns.
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
        raise typer.Exit(EXIT_USAGE)
    try:
        seed_numbers = [int(seed) for seed in seeds.split(",")]
        results = run_workload(workload, policies.split(","), seed_numbers)
    except ValueError as error:
        typer.echo(f"error {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error
    results["command"] = f"baobabstream bench run {name} --seeds {seeds} --policies {policies}"
    _write_json(results, out)
    _print_tables(results)


@bench_app.command("decision-time")
def decision_time(
    # Comma-separated numbers of replicas.
    replicas: Annotated[str, typer.Option()] = DEFAULT_REPLICA_COUNTS,
    out: Annotated[Path | None, typer.Option(help="JSON file for the result.")] = None,
) -> None:
    """Measure the time that a policy takes for a decision."""
    # One row for each number of replicas; keys that end in `_us` hold times in microseconds, the
    # others are counts.
    rows = measure_decision_time([int(count) for count in replicas.split(",")])
    command = f"baobabstream bench decision-time --replicas {replicas}"
    _write_json({"command": command, "rows": rows}, out)
    for row in rows:
        typer.echo("  ".join(f"{key} {value:g}" for key, value in row.items()))


@bench_app.command("false-stops")
def false_stops(
    rollouts: Annotated[int, typer.Option(help="Healthy rollouts of 10,000 answers.")] = 1000,
    # Seed of the randomness of the rollouts.
    seed: Annotated[int, typer.Option()] = 1,
    out: Annotated[Path | None, typer.Option(help="JSON file for the result.")] = None,
) -> None:
    """Count the healthy rollouts that the version tests stop by mistake."""
    stops = count_false_stops(rollouts, seed)
    command = f"baobabstream bench false-stops --rollouts {rollouts} --seed {seed}"
    _write_json({"command": command, "rollouts": rollouts, "stops": stops}, out)
    typer.echo(f"{stops} of {rollouts} healthy rollouts stopped")


def _write_json(results: dict[str, Any], out: Path | None) -> None:
    """Write results to the JSON file ``out``, unless it is None."""
    if out is not None:
        out.parent.mkdir(parents=True, exist_ok=True)
        out.write_text(json.dumps(results, indent=1) + "\n")


def _print_tables(results: dict[str, Any]) -> None:
    """Print one table of the figures and one of the aims, with a column for each policy.

    Parameters
    ----------
    results
        Document that ``run_workload`` returns. ``workload`` is the name of the workload, and
        ``policies`` maps the name of each policy to an object with ``figures`` and ``aims``.
        ``figures`` maps the name of a figure, which contains its unit if there is one, to its
        ``min``, ``median`` and ``max`` over the seeds. ``aims`` is a list, in the same order for
        all policies, of objects with ``text``, which names the unit if there is one, ``limit``,
        ``values`` (one per seed) and ``passed``, whether the worst value keeps the limit.
    """
    # Width in characters, whatever the width of the terminal.
    console = Console(width=140)
    policies = results["policies"]
    figures_table = Table("figure (min / median / max)", *policies, title=results["workload"])
    for figure in next(iter(policies.values()))["figures"]:
        cells = []
        for policy in policies.values():
            spread = policy["figures"][figure]
            cells.append(f"{spread['min']:g} / {spread['median']:g} / {spread['max']:g}")
        figures_table.add_row(figure, *cells)
    console.print(figures_table)
    aims_table = Table("aim", "limit", *policies, title="aims, worst seed decides")
    for index, aim in enumerate(next(iter(policies.values()))["aims"]):
        cells = []
        for policy in policies.values():
            aim_result = policy["aims"][index]
            # One value per seed, with three significant digits, in the unit of the limit.
            values = " ".join(f"{value:.3g}" for value in aim_result["values"])
            cells.append(f"{'pass' if aim_result['passed'] else 'miss'} {values}")
        aims_table.add_row(aim["text"], f"{aim['limit']:g}", *cells)
    console.print(aims_table)
