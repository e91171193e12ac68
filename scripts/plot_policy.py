"""Draws the plots of docs/policy from the bench results.

Run with ``python scripts/plot_policy.py``.
"""

import json
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot  # noqa: E402

RESULTS = Path("bench/results")
PLOTS = Path("docs/policy")
PANELS = (
    ("bus-peak", "peak_goodput_per_s", "requests in time per s"),
    ("account-flood", "small_met_share", "small accounts' requests met"),
    ("gate-histories", "check_total_p99_ms", "p99 of checks in ms"),
    ("slowed-servers", "answer_total_p99_ms", "p99 of answers in ms"),
)
# Otherwise each run would change the file.
matplotlib.rcParams["svg.hashsalt"] = "baobabstream"


def load(name: str) -> dict[str, Any]:
    return json.loads((RESULTS / f"{name}.json").read_text())


def plot_policies() -> None:
    figure, axes = pyplot.subplots(2, 2, figsize=(11, 8))
    for axis, (workload, key, label) in zip(axes.flat, PANELS, strict=True):
        policies = load(workload)["policies"]
        names = list(policies)
        spreads = [policies[name]["figures"][key] for name in names]
        medians = [item["median"] for item in spreads]
        low = [item["median"] - item["min"] for item in spreads]
        high = [item["max"] - item["median"] for item in spreads]
        axis.barh([name.replace("outcome-", "") for name in names], medians, xerr=(low, high))
        axis.invert_yaxis()
        axis.set_title(workload)
        axis.set_xlabel(label)
        if key.endswith("_ms"):
            axis.set_xscale("log")
    save(figure, "policies")


def plot_decision_time() -> None:
    rows = load("decision-time")["rows"]
    figure, axis = pyplot.subplots(figsize=(6, 4))
    replicas = [row["replicas"] for row in rows]
    for key in ("median_us", "p99_us"):
        axis.plot(replicas, [row[key] for row in rows], marker="o", label=key)
    axis.axhline(100, linestyle="--", label="aim")
    axis.set_xscale("log")
    axis.set_ylim(bottom=0)
    axis.set_xlabel("replicas")
    axis.set_ylabel("microseconds per decision")
    axis.legend()
    save(figure, "decision-time")


def save(figure: Any, name: str) -> None:
    PLOTS.mkdir(parents=True, exist_ok=True)
    figure.tight_layout()
    figure.savefig(PLOTS / f"{name}.svg", metadata={"Date": None})


if __name__ == "__main__":
    plot_policies()
    plot_decision_time()
