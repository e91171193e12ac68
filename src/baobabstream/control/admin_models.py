"""Pydantic models of the admin and backend HTTP bodies."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "AnnounceBody",
    "BillsQuery",
    "ChangeBody",
    "InForceQuery",
    "LeaveBody",
    "ReleaseBody",
    "RolloutActionBody",
    "VersionActionBody",
]

Name = Annotated[str, Field(min_length=1, max_length=128)]
Key = Annotated[str, Field(min_length=1, max_length=300)]
Reason = Annotated[str, Field(max_length=500)]
BaseRevision = Annotated[int, Field(ge=0)] | None

MAX_LOADED = 256
MAX_BILLS = 10_000
MAX_IN_FORCE_WAIT_S = 30.0


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class ChangeBody(_Body):
    """An operator's change; rows carry their kind in ``type``."""

    change_id: Name
    base_revision: Annotated[int, Field(ge=0)]
    put: list[dict[str, Any]] = []
    delete: list[Key] = []


class VersionActionBody(_Body):
    """An operator's action on a version."""

    change_id: Name
    model: Name
    version: Name
    reason: Reason = ""
    base_revision: BaseRevision = None


class RolloutActionBody(_Body):
    """An operator's action on a rollout."""

    change_id: Name
    name: Name
    reason: Reason = ""
    base_revision: BaseRevision = None


class ReleaseBody(_Body):
    """An operator releases a fingerprint."""

    change_id: Name
    fingerprint: Name
    base_revision: BaseRevision = None


class InForceQuery(_Body):
    """Query of the in-force check; without a revision the present one is meant."""

    revision: Annotated[int, Field(ge=0)] | None = None
    wait_s: Annotated[float, Field(ge=0, le=MAX_IN_FORCE_WAIT_S)] = 0.0


class BillsQuery(_Body):
    """Query of a page of bills."""

    account: Annotated[str, Field(max_length=128)] = ""
    since_ms: Annotated[int, Field(ge=0)] = 0
    after: Annotated[int, Field(ge=0)] = 0
    limit: Annotated[int, Field(ge=1, le=MAX_BILLS)] = 1000


class LoadedBody(_Body):
    """A model version that a backend server has loaded."""

    model: Name
    version: Name


class AnnounceBody(_Body):
    """A backend server's announcement."""

    identity: Name
    incarnation: Annotated[int, Field(ge=1, lt=2**63)]
    kind: Annotated[str, Field(pattern="^(engine|service)$")]
    url: Annotated[str, Field(pattern=r"^https?://", max_length=512)]
    availability_zone: Name
    service: Annotated[str, Field(max_length=128)] = ""
    loaded: Annotated[list[LoadedBody], Field(max_length=MAX_LOADED)] = []
    slots: Annotated[int, Field(ge=1, le=100_000)] = 8
    honours_fencing: bool = True
    in_flight: Annotated[int, Field(ge=0, lt=2**31)] = 0
    queued_tokens: Annotated[int, Field(ge=0, lt=2**31)] = 0
    role: Annotated[str, Field(max_length=32)] = ""
    adapters: list[Name] = []
    cache_events: Annotated[list[dict[str, Any]], Field(max_length=1024)] = []


class LeaveBody(_Body):
    """A backend server leaves."""

    identity: Name
    incarnation: Annotated[int, Field(ge=1, lt=2**63)]
