"""Pydantic models of the TOML settings files."""

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

__all__ = [
    "ControlPeer",
    "ControlSettings",
    "EntrySettings",
    "HttpListener",
    "LogSettings",
    "TlsFiles",
]

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
Secret = Annotated[str, Field(min_length=16, max_length=256)]
PositiveSeconds = Annotated[float, Field(gt=0, le=3600)]


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class TlsFiles(_Model):
    """Certificate files of a listener."""

    certificate_file: Path
    key_file: Path
    ca_file: Path | None = None


class HttpListener(_Model):
    """Address of an HTTP listener."""

    ip: str = "127.0.0.1"
    port: Port
    tls: TlsFiles | None = None


class ControlPeer(_Model):
    """Address of a control host's inner-protocol listener."""

    host: Name
    availability_zone: Name
    ip: str = "127.0.0.1"
    port: Port
    http_port: Port


class LogSettings(_Model):
    """Format and level of the log."""

    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"
    json_lines: bool = False


class _DaemonSettings(_Model):
    cluster: Name
    host: Name
    availability_zone: Name
    peer_secret: Secret
    control: Annotated[list[ControlPeer], Field(min_length=1, max_length=16)]
    timeline_file: Path | None = None
    log: LogSettings = LogSettings()
    metrics_port: Port | None = None


class EntrySettings(_DaemonSettings):
    """Settings of an entry daemon."""

    listener: HttpListener
    session_secret: Secret
    max_body_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = 4 * 1024 * 1024
    body_timeout_s: PositiveSeconds = 10.0
    connect_timeout_s: PositiveSeconds = 1.0
    first_byte_timeout_s: PositiveSeconds = 30.0
    gap_timeout_s: PositiveSeconds = 5.0
    idle_connection_s: PositiveSeconds = 15.0
    drain_notice_s: Annotated[float, Field(ge=0, le=600)] = 5.0
    bill_sync_timeout_s: PositiveSeconds = 1.0
    rating_url: str | None = None
    rating_timeout_s: PositiveSeconds = 5.0
    rating_sample: Annotated[float, Field(ge=0, le=1)] = 0.05
    probe_timeout_s: PositiveSeconds = 1.0
    caller_write_timeout_s: PositiveSeconds = 10.0


class ControlSettings(_DaemonSettings):
    """Settings of a control daemon."""

    data_folder: Path
    operator_keys: Annotated[dict[Name, Secret], Field(min_length=1)]
    backend_key: Secret
    admin_tls: TlsFiles | None = None
    entry_lease_s: Annotated[float, Field(ge=0.5, le=60)] = 4.0
    announcement_expiry_s: Annotated[float, Field(ge=0.5, le=60)] = 3.0
    weight_store_loads: Annotated[int, Field(ge=1, le=1000)] = 2
    snapshot_entries: Annotated[int, Field(ge=10, le=1_000_000)] = 2000
