"""Plays copies of a request that crashes servers, with many values of what may vary.

``explore_crashing_requests.py FIRST LAST [--jobs N]`` runs one random scenario for each seed;
``explore_crashing_requests.py --one JSON`` runs the scenario with some fields of `CopiesScenario`.
"""

import argparse
import asyncio
import json
import os
import sys
import tempfile
import traceback
from concurrent.futures import ProcessPoolExecutor
from itertools import count
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1] / name) for name in ("src", "tests")]

from crashing_copies import (  # noqa: E402 - the path is set above
    CopiesReport,
    CopiesScenario,
    play_copies,
    random_scenario,
)


def _run(
    name: str, scenario: CopiesScenario, network: int
) -> tuple[str, CopiesScenario, CopiesReport | str]:
    """Run one scenario in a loopback network; the report is a text if the run itself failed."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            return name, scenario, asyncio.run(play_copies(scenario, Path(folder), network))
        except Exception:
            return name, scenario, traceback.format_exc()


def main() -> int:
    """Run the scenarios and print what they found; returns 1 if a request was sent too often."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int, nargs="?", default=1)
    parser.add_argument("last", type=int, nargs="?", default=0)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--one", action="append", default=[])
    chosen = parser.parse_args()
    scenarios = [(text, CopiesScenario(**json.loads(text))) for text in chosen.one]
    scenarios += [
        (f"seed {seed}", random_scenario(seed)) for seed in range(chosen.first, chosen.last + 1)
    ]
    broken = 0
    with ProcessPoolExecutor(chosen.jobs) as pool:
        names, values = zip(*scenarios, strict=True)
        for name, scenario, report in pool.map(_run, names, values, count(os.getpid() % 30_000)):
            if isinstance(report, str):
                print(f"{name} RUN FAILED {scenario}\n{report}", flush=True)
                broken += 1
                continue
            broken += report.is_broken
            verdict = "BROKEN" if report.is_broken else "kept"
            print(
                f"{name} {verdict}: {report.crashes} crashes, {report.late_arrivals} late, "
                f"sound {report.served_fraction:.2f} {scenario}",
                flush=True,
            )
    print(f"{broken} of {len(scenarios)} runs sent such a request too often")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
