"""Interrupts rollouts on real daemons for many seeds and prints one line for each."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
os.environ["PYTHONPATH"] = str(ROOT / "src")

from system.bad_version import run_bad_version  # noqa: E402
from system.rollout_interruptions import FINAL_STATES, INTERRUPTIONS  # noqa: E402
from system.rollouts import failed_checks, run_rollout  # noqa: E402


def main(
    interruption: Annotated[
        list[str], typer.Option(help="Name of an interruption, repeatable.")
    ] = [],  # noqa: B006
    seeds: Annotated[int, typer.Option()] = 1,
    first_seed: Annotated[int, typer.Option()] = 1,
    bad: Annotated[
        list[str], typer.Option(help="Fault of a bad version, bad_share or error_share.")
    ] = [],  # noqa: B006
    baseline: Annotated[int, typer.Option(help="Answers before a bad version starts.")] = 150,
    fencing: Annotated[bool, typer.Option(help="Engines refuse old fencing numbers.")] = True,
) -> None:
    """Run each interruption with each seed; ends with exit code 1 if a rollout went wrong."""
    broken = 0
    options = () if fencing else ("--no-fencing",)
    for fault in bad:
        for seed in range(first_seed, first_seed + seeds):
            folder = Path(tempfile.mkdtemp())
            stop = asyncio.run(run_bad_version(folder, fault, seed, baseline))
            print(
                f"{fault} seed {seed} after {baseline} answers: {stop.row['state']} after "
                f"{stop.stop_ms} ms, last attempt {stop.last_attempt_ms} ms after the stop, bad "
                f"answers {stop.bad_before_stop} before and {stop.bad_after_stop} after",
                flush=True,
            )
    for name in interruption or ([] if bad else INTERRUPTIONS):
        for seed in range(first_seed, first_seed + seeds):
            folder = Path(tempfile.mkdtemp())
            state = FINAL_STATES[name]
            try:
                run = asyncio.run(run_rollout(folder, INTERRUPTIONS[name], seed, state, options))
            except (TimeoutError, AssertionError) as error:
                broken += 1
                print(f"{name} seed {seed}: did not finish: {error!r} {folder}", flush=True)
                continue
            faults = failed_checks(run, state)
            broken += bool(faults)
            print(
                f"{name} seed {seed}: {'; '.join(faults) or 'ok'}, {run.duration_s:.1f} s, shares "
                f"{run.shares} observed {[round(run.observed_share(x), 2) for x in run.shares]}, "
                f"most loading {run.max_loading}, least spared {run.min_serving_old}, finished "
                f"{sum(x.finished for x in run.records)}, refused "
                f"{sum(x.run_state == 'no' for x in run.records)}, cut "
                f"{len(run.interrupted)} {folder}",
                flush=True,
            )
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
