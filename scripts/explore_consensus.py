"""Runs many simulated schedules of the replicated log and prints the seeds that fail."""

import argparse
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

from consensus.simulation import ScheduleOptions, Violation, run_schedule  # noqa: E402


def run_seed(seed: int) -> tuple[int, str, dict[str, int]]:
    """Run one schedule and return its seed, what was violated, and counts."""
    try:
        simulation = run_schedule(seed, ScheduleOptions())
    except Violation as violation:
        return seed, str(violation), {}
    counts = {
        "accepted changes": simulation.accepted_count,
        "claim calls": simulation.claim_count,
        "terms with a leader": len(simulation.leader_by_term),
        "lost disks": simulation.lost_disk_count,
        "repairs": simulation.repair_count,
    }
    return seed, "", counts


def main() -> int:
    """Run the schedules; the exit status is 1 if any failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=1000, help="number of schedules")
    parser.add_argument("--first", type=int, default=0, help="first seed")
    parser.add_argument("--processes", type=int, default=2, help="processes to use")
    options = parser.parse_args()
    seeds = range(options.first, options.first + options.seeds)
    started_s = time.monotonic()
    totals: Counter[str] = Counter()
    failed = 0
    with ProcessPoolExecutor(options.processes) as executor:
        for seed, violation, counts in executor.map(run_seed, seeds, chunksize=20):
            totals.update(counts)
            if violation:
                failed += 1
                print(f"seed {seed}: {violation}", flush=True)
    elapsed_s = time.monotonic() - started_s
    print(f"{options.seeds} schedules, {failed} failed, {elapsed_s:.0f} s")
    for name, number in totals.items():
        print(f"{name}: {number}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
