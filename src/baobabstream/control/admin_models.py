"""Pydantic models of the bodies and queries of the admin and backend HTTP interfaces.

The admin interface serves operators. Configuration is stored as rows, such as those of client
accounts and model versions. Every change of rows raises the revision of the configuration; the
operator revision is the one after the last accepted operator command. A rollout replaces one model
version by another. A fingerprint identifies requests with equal content: it is suspect if such a
request ran on a backend server when that failed, and quarantined, so that it does not run, after
repeated failures.

The backend interface serves backend servers, which run requests: model engines and plain services.
"""

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

# Text lengths are in characters. ``Name`` also serves for identities and fingerprints. A row key
# holds the kind and the names of a row, such as ``version/model@1``. A base revision of None means
# that the operator names none, and an empty reason that the operator gives none.
Name = Annotated[str, Field(min_length=1, max_length=128)]
RowKey = Annotated[str, Field(min_length=1, max_length=300)]
Reason = Annotated[str, Field(max_length=500)]
BaseRevision = Annotated[int, Field(ge=0)] | None

# Number of loaded versions, and of loaded adapters, that an announcement may list.
MAX_LOADED_ITEMS = 256
MAX_BILLS_PER_PAGE = 10_000
# Longest time for which a client may let the leader wait until a revision is in force, that is,
# applied by all entry processes with a lease.
MAX_IN_FORCE_WAIT_S = 30.0


class _StrictModel(BaseModel):
    """Model that refuses fields that it does not define."""

    model_config = ConfigDict(extra="forbid")


class ChangeBody(_StrictModel):
    """Operator's change of rows.

    ``change_id`` makes a resend recognisable, ``base_revision`` is the operator revision that the
    operator has read. ``put`` holds rows with their kind in ``type``, ``delete`` holds row keys.
    """

    change_id: Name
    base_revision: Annotated[int, Field(ge=0)]
    put: Annotated[list[dict[str, Any]], Field(fail_fast=True)] = []
    delete: Annotated[list[RowKey], Field(fail_fast=True)] = []


class VersionActionBody(_StrictModel):
    """Operator's action on a model version, which the URL path names: activate, stop or withdraw.

    ``change_id`` makes a resend recognisable. The action is refused if ``base_revision`` is given
    and is not the present operator revision.
    """

    change_id: Name
    model: Name
    version: Name
    reason: Reason = ""
    base_revision: BaseRevision = None


class RolloutActionBody(_StrictModel):
    """Operator's action on a rollout, which the URL path names: pause, resume or withdraw.

    ``name`` is the name of the rollout. ``change_id`` makes a resend recognisable. The action is
    refused if ``base_revision`` is given and is not the present operator revision.
    """

    change_id: Name
    name: Name
    reason: Reason = ""
    base_revision: BaseRevision = None


class ReleaseBody(_StrictModel):
    """Operator's release of a suspect or quarantined fingerprint, which then runs normally again.

    ``change_id`` makes a resend recognisable. The release is refused if ``base_revision`` is given
    and is not the present operator revision.
    """

    change_id: Name
    fingerprint: Name
    base_revision: BaseRevision = None


class InForceQuery(_StrictModel):
    """Query of the check whether all entry processes with a lease have applied a revision.

    Without ``revision``, the present one is checked. ``wait_s`` is the longest time in seconds that
    the answer may be delayed until the revision is in force.
    """

    revision: Annotated[int, Field(ge=0)] | None = None
    wait_s: Annotated[float, Field(ge=0, le=MAX_IN_FORCE_WAIT_S)] = 0.0


class BillsQuery(_StrictModel):
    """Query of a page of bills, which state the cost of answered requests.

    ``account`` selects a client account, or all if empty. ``since_ms`` is a wall time in
    milliseconds since 1970, and ``limit`` the largest number of bills. ``after`` is the offset that
    the previous page returned, a position in bytes in the leader's ledger file, which stores the
    bills; 0 means the first page.
    """

    account: Annotated[str, Field(max_length=128)] = ""
    since_ms: Annotated[int, Field(ge=0)] = 0
    after: Annotated[int, Field(ge=0)] = 0
    limit: Annotated[int, Field(ge=1, le=MAX_BILLS_PER_PAGE)] = 1000


class LoadedBody(_StrictModel):
    """A model version that a backend server has loaded."""

    model: Name
    version: Name


class AnnounceBody(_StrictModel):
    """Announcement of a backend server, which it repeats so that it stays registered.

    Attributes
    ----------
    identity
        Name of the server, which a restart does not change.
    incarnation
        Number of the server's process, which rises with each restart; at most 63 bits long, so
        that it fits a signed 64-bit integer.
    kind
        Whether the server is a model engine or a plain service.
    url
        Base URL to which requests for the server are sent.
    availability_zone
        Availability zone in which the server runs.
    service
        Name of the plain service; empty for an engine.
    loaded
        Model versions that an engine has loaded.
    slots
        Number of requests that an engine runs in one batch; 8 if it does not say.
    honours_fencing
        Whether the engine refuses orders of a previous leader, such as to load a version, by their
        fencing number, which rises with each leader.
    in_flight
        Number of requests that wait or run at the server.
    queued_tokens
        Number of tokens that an engine still has to process; like ``in_flight`` it must fit a
        signed 32-bit integer.
    role, adapters, cache_events
        Role of an engine, its loaded adapters (additional weights for a model) and changes of its
        prefix cache (results kept for the beginnings of earlier prompts). These are accepted but
        not stored in the registry of backend servers.
    """

    identity: Name
    incarnation: Annotated[int, Field(ge=1, lt=2**63)]
    kind: Annotated[str, Field(pattern="^(engine|service)$")]
    url: Annotated[str, Field(pattern=r"^https?://", max_length=512)]
    availability_zone: Name
    service: Annotated[str, Field(max_length=128)] = ""
    loaded: Annotated[list[LoadedBody], Field(max_length=MAX_LOADED_ITEMS)] = []
    slots: Annotated[int, Field(ge=1, le=100_000)] = 8
    honours_fencing: bool = True
    in_flight: Annotated[int, Field(ge=0, lt=2**31)] = 0
    queued_tokens: Annotated[int, Field(ge=0, lt=2**31)] = 0
    role: Annotated[str, Field(max_length=32)] = ""
    adapters: Annotated[list[Name], Field(max_length=MAX_LOADED_ITEMS)] = []
    cache_events: Annotated[list[dict[str, Any]], Field(max_length=1024)] = []


class LeaveBody(_StrictModel):
    """Departure of a backend server; this incarnation cannot announce itself again.

    ``incarnation`` is the number of the server's process, which rises with each restart.
    """

    identity: Name
    incarnation: Annotated[int, Field(ge=1, lt=2**63)]
