"""Reads the timeline files and bills that the processes of a cluster wrote."""

from pathlib import Path

from baobabstream.telemetry.timeline import EventKind, TimelineEvent
from baobabstream.telemetry.timeline_reader import read_timelines
from system.cluster import Cluster
from system.history import EngineRun

__all__ = [
    "read_attempts",
    "fetch_billed_ids",
    "leader_knows_hosts",
    "read_timeline_events",
    "read_engine_runs",
    "read_service_run_keys",
]


def read_timeline_events(folder: Path, *kinds: EventKind) -> list[TimelineEvent]:
    """Return the timeline events of the given kinds from all processes, ordered by time."""
    files = sorted((folder / "timeline").glob("*.jsonl"))
    return [event for event in read_timelines(files) if event.kind in kinds]


def read_engine_runs(folder: Path) -> list[EngineRun]:
    """Return the request runs that the emulated engines recorded."""
    return [
        EngineRun(event.host, event.request_id, event.detail, event.time.wall_ms)
        for event in read_timeline_events(folder, EventKind.ENGINE_REQUEST_STARTED)
    ]


def read_attempts(folder: Path) -> list[EngineRun]:
    """Return the attempts that the entry hosts sent; an engine may start them later.

    The detail of the event starts with the backend server and the model version.
    """
    return [
        EngineRun(
            event.detail.split()[0], event.request_id, event.detail.split()[1], event.time.wall_ms
        )
        for event in read_timeline_events(folder, EventKind.ATTEMPT_SENT)
    ]


def read_service_run_keys(folder: Path) -> list[str]:
    """Return the idempotency key of each run that the emulated services recorded."""
    return [
        event.detail
        for event in read_timeline_events(folder, EventKind.ENGINE_REQUEST_FINISHED)
        if event.role == "service"
    ]


async def leader_knows_hosts(cluster: Cluster, entry_count: int, backend_count: int) -> bool:
    """Return whether the leader knows at least that many live entry hosts and backend servers."""
    status = await cluster.status()
    return (
        status is not None
        and len(status["entries"]) >= entry_count
        and len(status["backends"]) >= backend_count
    )


async def fetch_billed_ids(cluster: Cluster) -> list[str]:
    """Return the request identity of each bill, read from all pages of the ledger."""
    request_ids: list[str] = []
    after = 0
    while True:
        http_status, page = await cluster.admin("GET", f"/bills/pages?after={after}")
        assert http_status == 200, page
        request_ids += [bill["request_id"] for bill in page["bills"]]
        if page["complete"]:
            return request_ids
        after = page["next_after"]
