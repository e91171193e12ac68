"""Runs fault scenarios on real daemons for many seeds and prints one line for each."""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]
os.environ["PYTHONPATH"] = str(ROOT / "src")

from system.faults import FAULTS, find_fault  # noqa: E402
from system.scenario import run_scenario  # noqa: E402


def main(
    fault: Annotated[
        list[str], typer.Option(help="Name of a fault, or names joined by +, repeatable.")
    ] = [],  # noqa: B006
    seeds: Annotated[int, typer.Option()] = 1,
    first_seed: Annotated[int, typer.Option()] = 1,
    without: Annotated[
        str, typer.Option(help="Mechanism that is switched off, as role=name.")
    ] = "",
    long_tokens: Annotated[int, typer.Option(help="Length of some callers' answers.")] = 0,
    keep: Annotated[Path | None, typer.Option(help="Keep the files in this folder.")] = None,
) -> None:
    """Run each fault with each seed; ends with exit code 1 if a requirement was broken."""
    broken = 0
    role, _, mechanism = without.partition("=")
    off = {role: mechanism} if mechanism else None
    for name in fault or FAULTS:
        for seed in range(first_seed, first_seed + seeds):
            folder = Path(tempfile.mkdtemp(dir=keep))
            started_s = time.monotonic()
            try:
                result = asyncio.run(
                    run_scenario(
                        folder,
                        find_fault(name),
                        seed,
                        disabled_mechanisms=off,
                        long_tokens=long_tokens,
                    )
                )
            except (TimeoutError, AssertionError) as error:
                broken += 1
                print(f"{name} seed {seed}: did not finish: {error!r} {folder}", flush=True)
                continue
            broken += bool(result.violations)
            verdict = f"{len(result.violations)} violations" if result.violations else "ok"
            print(
                f"{name} seed {seed}: {verdict}, finished {result.finished_count}, refused "
                f"{result.refused_count}, cut {result.interrupted_count}, changes "
                f"{result.accepted_change_count}, signatures {result.signature_count}, crashes "
                f"{result.crash_count}, {result.withdrawal}, "
                f"{time.monotonic() - started_s:.0f} s {folder}",
                flush=True,
            )
            for violation in result.violations[:5]:
                print(f"  {violation.requirement}: {violation.detail}", flush=True)
    raise SystemExit(1 if broken else 0)


if __name__ == "__main__":
    typer.run(main)
