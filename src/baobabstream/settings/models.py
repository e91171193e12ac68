"""Models of the TOML settings files of entry and control daemons.

pydantic, a data validation library, checks the files against them. Prometheus is a monitoring
system that reads a daemon's metrics over HTTP, from the exporter.

The attributes are the keys of the files. Names that end in ``_s`` are times in seconds.

Entry daemons handle callers' requests and send them to backend servers. Control daemons store the
configuration and the bills; one of them is the elected leader, and an entry host needs a lease from
it to serve. A peer is another daemon of the cluster, which is the set of daemons that work
together.
"""

from abc import abstractmethod
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

from baobabstream.resources.process_limits import BYTES_PER_MB, ProcessLimits
from baobabstream.settings.paths import SettingsPath
from baobabstream.settings.secrets import Secret
from baobabstream.settings.tls import PeerTlsFiles, TlsFiles

__all__ = [
    "ControlPeer",
    "ControlSettings",
    "EntrySettings",
    "HttpListener",
    "LogSettings",
    "PeerTlsFiles",
    "TlsFiles",
]

# Types of settings values with their allowed ranges.
Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]*$")]
# At most one hour (3600 s).
PositiveSeconds = Annotated[float, Field(gt=0, le=3600)]
# IPv4 or IPv6 address. The longest, an IPv6 address that ends in an IPv4 one, has 45 characters.
Ip = Annotated[str, Field(pattern=r"^[0-9A-Fa-f.:]+$", max_length=45)]

# Memory of an entry or control daemon without clients. They load more libraries than the others.
FIXED_MEMORY_BYTES = 76_000_000


class _SettingsModel(BaseModel):
    """Base of all tables: unknown keys are refused, and values cannot be changed."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class HttpListener(_SettingsModel):
    """Address of an HTTP listener."""

    ip: Ip = Field(default="127.0.0.1", description="Address to listen on.")
    port: Port = Field(description="TCP port.")
    tls: TlsFiles | None = Field(
        default=None, description="Certificate files; without them plain HTTP."
    )


class ControlPeer(_SettingsModel):
    """One control host; the settings of every daemon list all control hosts."""

    host: Name = Field(description="Name of the control host.")
    availability_zone: Name = Field(description="Availability zone of the control host.")
    ip: Ip = Field(default="127.0.0.1", description="Address of the control host.")
    port: Port = Field(description="TCP port of the protocol between daemons.")
    http_port: Port = Field(description="TCP port for operators and backend servers.")


class LogSettings(_SettingsModel):
    """Format and level of the log, which is written to standard error."""

    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = Field(
        default="INFO", description="Lowest level that is written."
    )
    json_lines: bool = Field(default=False, description="Whether each record is one JSON object.")


class _DaemonSettings(_SettingsModel):
    """Settings that entry and control daemons have in common."""

    cluster: Name = Field(description="Name of the cluster; daemons of other clusters are refused.")
    host: Name = Field(description="Name of this host.")
    availability_zone: Name = Field(description="Availability zone of this host.")
    peer_secret: Secret = Field(description="Secret shared by all daemons of the cluster.")
    control: Annotated[list[ControlPeer], Field(min_length=1, max_length=16)] = Field(
        description="The control hosts."
    )
    peer_tls: PeerTlsFiles | None = Field(
        default=None, description="TLS between daemons; set it on every host or on none."
    )
    timeline_file: SettingsPath | None = Field(
        default=None, description="File for the event timeline; without it no events are written."
    )
    log: LogSettings = Field(default_factory=LogSettings, description="The log.")
    metrics_port: Port | None = Field(
        default=None, description="TCP port of the Prometheus exporter; without it none runs."
    )
    metrics_ip: Ip = Field(default="127.0.0.1", description="Address of the exporter.")
    memory_mb: Annotated[int, Field(ge=96, le=1_000_000)] = Field(
        default=512, description="Memory of the process in megabytes (1,000,000 bytes)."
    )
    max_fds: Annotated[int, Field(ge=256, le=1_000_000)] = Field(
        default=4096, description="Descriptors of the process; 200 are kept for files."
    )

    @property
    def process_limits(self) -> ProcessLimits:
        """Memory and descriptors of the process."""
        return ProcessLimits(
            self.memory_mb * BYTES_PER_MB,
            self.max_fds,
            FIXED_MEMORY_BYTES,
            clients_use_tls=self.client_tls is not None,
            peers_use_tls=self.peer_tls is not None,
        )

    @property
    @abstractmethod
    def client_tls(self) -> TlsFiles | None:
        """Certificate files of the listener for clients, or None for plain HTTP."""

    @model_validator(mode="after")
    def _check_control_hosts(self) -> Self:
        """Refuse settings that list a control host twice."""
        hosts = [peer.host for peer in self.control]
        repeated_hosts = sorted({host for host in hosts if hosts.count(host) > 1})
        if repeated_hosts:
            raise ValueError(f"control lists {', '.join(repeated_hosts)} more than once")
        return self


class EntrySettings(_DaemonSettings):
    """Settings of an entry daemon.

    The rating service rates the quality of answers. A bill is the charge for one request, which is
    stored on control hosts in two availability zones. A session token names a series of requests of
    one caller.
    """

    listener: HttpListener = Field(description="Address for callers.")
    session_secret: Secret = Field(
        description="Secret that signs session tokens; the same on all entry hosts."
    )
    max_body_bytes: Annotated[int, Field(ge=1024, le=64 * 1024 * 1024)] = Field(
        default=4 * 1024 * 1024, description="Largest request body."
    )
    body_timeout_s: PositiveSeconds = Field(
        default=10.0, description="Time within which a request body must arrive."
    )
    connect_timeout_s: PositiveSeconds = Field(
        default=1.0, description="Limit on connecting to a backend server."
    )
    first_byte_timeout_s: PositiveSeconds = Field(
        default=30.0, description="Limit on the first byte of a backend server's answer."
    )
    gap_timeout_s: PositiveSeconds = Field(
        default=5.0, description="Limit on the gap between two parts of an answer."
    )
    idle_connection_s: PositiveSeconds = Field(
        default=15.0,
        description="Connections to backend servers idle for longer are not used again.",
    )
    drain_notice_s: Annotated[float, Field(ge=0, le=600)] = Field(
        default=5.0,
        description="Time from reporting unready to closing the listener during a stop.",
    )
    bill_sync_timeout_s: PositiveSeconds = Field(
        default=1.0, description="Time to wait for the second copy of a bill."
    )
    rating_url: Annotated[str, Field(pattern=r"^https?://", max_length=512)] | None = Field(
        default=None, description="Address of the rating service."
    )
    rating_timeout_s: PositiveSeconds = Field(default=5.0, description="Limit on one rating.")
    rating_sample: Annotated[float, Field(ge=0, le=1)] = Field(
        default=1.0, description="Share of answers that are sent to the rating service."
    )
    probe_timeout_s: PositiveSeconds = Field(
        default=1.0, description="Limit on the probe of a backend server that does not answer."
    )
    caller_write_timeout_s: PositiveSeconds = Field(
        default=10.0, description="Time after which a caller that does not read is disconnected."
    )

    @property
    def client_tls(self) -> TlsFiles | None:
        """Certificate files of the listener for callers."""
        return self.listener.tls


class ControlSettings(_DaemonSettings):
    """Settings of a control daemon.

    The log holds the replicated changes of the configuration, and a snapshot replaces its older
    entries. The billing ledger is the file of bills. Backend servers announce themselves regularly.
    The weight store is the storage from which backend servers load the weights of models.
    """

    data_folder: SettingsPath = Field(description="Folder of the log and the billing ledger.")
    operator_keys: Annotated[dict[Name, Secret], Field(min_length=1)] = Field(
        description="Key of each operator by name."
    )
    backend_key: Secret = Field(
        description="Key that authenticates announcements of backend servers."
    )
    admin_tls: TlsFiles | None = Field(
        default=None, description="TLS for operators and backend servers; without it plain HTTP."
    )
    entry_lease_s: Annotated[float, Field(ge=0.5, le=60)] = Field(
        default=3.0,
        description="Time for which an entry host serves without contact to the leader.",
    )
    announcement_expiry_s: Annotated[float, Field(ge=0.5, le=60)] = Field(
        default=3.0, description="Backend servers silent for this time are dropped."
    )
    weight_store_loads: Annotated[int, Field(ge=1, le=1000)] = Field(
        default=2, description="Most concurrent loads of models from the weight store."
    )
    snapshot_entries: Annotated[int, Field(ge=10, le=1_000_000)] = Field(
        default=2000, description="Log entries after which a snapshot is taken."
    )

    @property
    def client_tls(self) -> TlsFiles | None:
        """Certificate files of the listener for operators and backend servers."""
        return self.admin_tls

    @model_validator(mode="after")
    def _check_own_host(self) -> Self:
        """Refuse settings of a control daemon whose host is not among the control hosts."""
        hosts = [peer.host for peer in self.control]
        if self.host not in hosts:
            raise ValueError(f"host {self.host} is not in control; allowed are {', '.join(hosts)}")
        return self
