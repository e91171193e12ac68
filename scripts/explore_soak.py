"""Runs seeds of the fault soak: ``explore_soak.py FIRST LAST [--jobs N] [--seconds S]``."""

import argparse
import asyncio
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / name) for name in ("src", "tests")]

from soak.soak_run import SoakReport, run_soak  # noqa: E402 - the path is set above


def _run(seconds: float, seed: int) -> tuple[SoakReport, str]:
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    return asyncio.run(run_soak(seed, seconds, folder)), str(folder)


def main() -> int:
    """Run the seeds and print what they found; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=10.0)
    chosen = parser.parse_args()
    seeds = range(chosen.first, chosen.last + 1)
    failed = 0
    with ProcessPoolExecutor(chosen.jobs) as pool:
        for report, folder in pool.map(partial(_run, chosen.seconds), seeds):
            failed += bool(report.violations)
            outcomes = ", ".join(f"{name}: {n}" for name, n in sorted(report.outcomes.items()))
            verdict = "BROKEN" if report.violations else "kept"
            print(f"seed {report.seed} {verdict} ({len(report.faults)} faults) {outcomes}")
            if report.violations:
                print("  logs:", folder)
                print(*(f"  {line}" for line in report.violations[:20]), sep="\n")
    print(f"{failed} of {len(seeds)} seeds broke a promise")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
