"""Pydantic models of the admin and backend HTTP bodies."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["AnnounceBody", "ChangeBody", "LeaveBody"]

Name = Annotated[str, Field(min_length=1, max_length=128)]


class _Body(BaseModel):
    model_config = ConfigDict(extra="forbid")


class ChangeBody(_Body):
    """An operator's change; rows carry their kind in ``type``."""

    change_id: Name
    base_revision: Annotated[int, Field(ge=0)]
    put: list[dict[str, Any]] = []
    delete: list[Name] = []


class LoadedBody(_Body):
    """A model version that a backend server has loaded."""

    model: Name
    version: Name


class AnnounceBody(_Body):
    """A backend server's announcement."""

    identity: Name
    incarnation: Annotated[int, Field(ge=1)]
    kind: Annotated[str, Field(pattern="^(engine|service)$")]
    url: Annotated[str, Field(pattern=r"^https?://", max_length=512)]
    availability_zone: Name
    service: Annotated[str, Field(max_length=128)] = ""
    loaded: list[LoadedBody] = []
    slots: Annotated[int, Field(ge=1, le=100_000)] = 8
    honours_fencing: bool = True
    in_flight: Annotated[int, Field(ge=0)] = 0
    queued_tokens: Annotated[int, Field(ge=0)] = 0
    role: Annotated[str, Field(max_length=32)] = ""
    adapters: list[Name] = []
    cache_events: Annotated[list[dict[str, Any]], Field(max_length=1024)] = []


class LeaveBody(_Body):
    """A backend server leaves."""

    identity: Name
    incarnation: Annotated[int, Field(ge=1)]
