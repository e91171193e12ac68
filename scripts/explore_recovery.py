"""Ends daemon processes as at the end of a day and measures when service is back.

``explore_recovery.py FIRST LAST [--jobs N]`` plays one fault for each seed.
"""

import argparse
import asyncio
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / name) for name in ("src", "tests")]

from soak.final_fault import (  # noqa: E402 - the path is set above
    FinalFault,
    RecoveryReport,
    play_final_fault,
)


def _run(seed: int) -> tuple[int, RecoveryReport, str]:
    """Play the fault of a seed; returns also the folder with the logs."""
    folder = Path(tempfile.mkdtemp(prefix=f"recovery-{seed}-"))
    return seed, asyncio.run(play_final_fault(seed, FinalFault.of_seed(seed), folder)), str(folder)


def main() -> int:
    """Run the seeds and print what they found; returns 1 if service was not back in time."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int)
    parser.add_argument("--jobs", type=int, default=1)
    chosen = parser.parse_args()
    seeds = range(chosen.first, chosen.last + 1)
    broken = 0
    with ProcessPoolExecutor(chosen.jobs) as pool:
        for seed, report, folder in pool.map(_run, seeds):
            broken += report.is_broken
            verdict = f"BROKEN {folder}" if report.is_broken else "kept"
            print(f"seed {seed} {verdict} {report} {FinalFault.of_seed(seed)}", flush=True)
    print(f"{broken} of {len(seeds)} seeds were not back in time")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
