"""Reads what the processes of a cluster recorded."""

from pathlib import Path

from baobabstream.telemetry.timeline import EventKind, TimelineEvent
from baobabstream.telemetry.timeline_reader import read_timelines
from system.cluster import Cluster
from system.history import EngineRun

__all__ = ["attempts_of", "billed_ids", "entries_serve", "events_of", "runs_of", "service_runs_of"]


def events_of(folder: Path, *kinds: EventKind) -> list[TimelineEvent]:
    """Return the timeline events of some kinds over all processes, in order."""
    files = sorted((folder / "timeline").glob("*.jsonl"))
    return [event for event in read_timelines(files) if event.kind in kinds]


def runs_of(folder: Path) -> list[EngineRun]:
    """Return the runs that the stand-in engines recorded."""
    return [
        EngineRun(event.host, event.request_id, event.detail, event.time.wall_ms)
        for event in events_of(folder, EventKind.ENGINE_REQUEST_STARTED)
    ]


def attempts_of(folder: Path) -> list[EngineRun]:
    """Return the attempts that the entries sent; an engine may start them later."""
    return [
        EngineRun(
            event.detail.split()[0], event.request_id, event.detail.split()[1], event.time.wall_ms
        )
        for event in events_of(folder, EventKind.ATTEMPT_SENT)
    ]


def service_runs_of(folder: Path) -> list[str]:
    """Return the idempotency key of each run that the stand-in services recorded."""
    return [
        event.detail
        for event in events_of(folder, EventKind.ENGINE_REQUEST_FINISHED)
        if event.role == "service"
    ]


async def entries_serve(cluster: Cluster, entries: int, backends: int) -> bool:
    """Return whether the leader knows so many live entry hosts and backend servers."""
    status = await cluster.status()
    return (
        status is not None
        and len(status["entries"]) >= entries
        and len(status["backends"]) >= backends
    )


async def billed_ids(cluster: Cluster) -> list[str]:
    """Return the request identity of each bill, over all pages of the ledger."""
    found: list[str] = []
    after = 0
    while True:
        code, page = await cluster.admin("GET", f"/bills/pages?after={after}")
        assert code == 200, page
        found += [bill["request_id"] for bill in page["bills"]]
        if page["complete"]:
            return found
        after = page["next_after"]
