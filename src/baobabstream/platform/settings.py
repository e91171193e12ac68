"""Reads the settings file of the platform, a TOML file.

The private classes have the tables and keys of the file. A daemon gets its settings from them in
the names and units of this package.

A gateway daemon sends callers' requests to backend servers. A coordination daemon stores the
configuration and the rollouts, which replace one version of a service's backend servers by another.
A session is a series of requests that a caller marks as belonging together. A retry is every send
of a request after its first.
"""

import os
import tomllib
from pathlib import Path

from msgspec import Struct, ValidationError, convert, field

from baobabstream.coordination.settings import CoordinationSettings
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.resources.process_limits import BYTES_PER_MB, ProcessLimits

__all__ = ["PlatformSettings", "load_platform_settings"]

# Environment variable with the path of the settings file.
SETTINGS_PATH_VARIABLE = "BAOBABSTREAM_SETTINGS"
SECONDS_PER_MS = 0.001


class _Bounds(Struct):
    """Table ``bounds``; fields without a comment are not used."""

    drain_ms: float = 2000.0
    # Seconds from the stop signal until the process is killed.
    grace_s: float = 8.0
    # Retries that are allowed for each request to a service, as a fraction.
    retry_ratio: float = 0.5
    # Number of further retries to a service in one time window, by all gateways together.
    retry_slack: float = 10.0
    # Length in seconds of the time window over which retries are counted.
    budget_window_s: float = 10.0
    # Seconds without a request after which a session ends.
    session_s: float = 5.0
    # Share (0 to 1) of a service's requests that a new version may get during its rollout. It is
    # limited because the new version may be faulty.
    exposure_share: float = 0.15
    # Number of further requests that it may get beyond that share.
    exposure_slack: float = 30.0
    pass_ms: float = 120.0


class _Limits(Struct):
    """Table ``limits``; the process is killed if its memory exceeds the first of them."""

    memory_mb: float = 128.0
    max_fds: int = 1024

    def process_limits(self) -> ProcessLimits:
        """Return the limits in the units of this package."""
        return ProcessLimits(int(self.memory_mb * BYTES_PER_MB), self.max_fds)


class _FaultTolerance(Struct):
    """Table ``fault_tolerance``."""

    # Number of coordination hosts that may fail at once.
    machines: int = 1


class PlatformSettings(Struct):
    """Contents of the settings file; unknown keys of a newer platform are ignored."""

    # Name and IP address of this host.
    node_name: str
    ip: str
    # Availability zone.
    zone: str
    # First and last port for the system's own use, or one port. The first is for the protocol
    # between the daemons, the next one for tunnels between gateways.
    internal_ports: list[int]
    # HTTP addresses of a few coordination hosts as IP:PORT. Only the IP address is used.
    seeds: list[str]
    # IP:PORT of each listener by its name: "frontend" for callers and "readiness" for the load
    # balancer's check on a gateway, "control_plane" for operators and backend servers on a
    # coordination host.
    listen: dict[str, str]
    # Whether this is the first start of the whole system, so that a coordination daemon may form a
    # new group of coordination hosts.
    bootstrap: bool = False
    # Milliseconds between two announcements of a backend server.
    heartbeat_ms: float = 1200.0
    # Folder of the durable state, which a coordination daemon needs.
    data_dir: str = ""
    bounds: _Bounds = field(default_factory=_Bounds)
    limits: _Limits = field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = field(default_factory=_FaultTolerance)

    def gateway(self) -> GatewaySettings:
        """Return the settings of a gateway daemon.

        Raises
        ------
        SettingsError
            ``SETTINGS_INVALID`` if ``listen`` lacks an address of a gateway.
        """
        bounds = self.bounds
        return GatewaySettings(
            host=self.node_name,
            ip=self.ip,
            availability_zone=self.zone,
            front_port=_listen_port(self.listen, "frontend"),
            ready_port=_listen_port(self.listen, "readiness"),
            inner_port=self._inner_port(),
            seeds=_ip_addresses(self.seeds),
            heartbeat_s=self.heartbeat_ms * SECONDS_PER_MS,
            stop_grace_s=bounds.grace_s,
            retry_share=bounds.retry_ratio,
            retry_slack=bounds.retry_slack,
            retry_window_s=bounds.budget_window_s,
            session_s=bounds.session_s,
            tunnel_port=self._tunnel_port(),
            limits=self.limits.process_limits(),
        )

    def _inner_port(self) -> int:
        """Return the port of the protocol between the daemons, the first of ``internal_ports``."""
        if not self.internal_ports:
            raise SettingsError(ResultCode.SETTINGS_INVALID, "internal_ports: a port is required")
        return self.internal_ports[0]

    def _tunnel_port(self) -> int | None:
        """Return the port after that of the protocol between the daemons, None if it isn't free.

        ``internal_ports`` are the first and the last port of a range.
        """
        port = self._inner_port() + 1
        return port if port <= self.internal_ports[-1] else None

    def coordination(self) -> CoordinationSettings:
        """Return the settings of a coordination daemon.

        Raises
        ------
        SettingsError
            ``SETTINGS_INVALID`` if ``data_dir``, ``internal_ports`` or the address
            ``control_plane`` is missing.
        """
        if not self.data_dir:
            raise SettingsError(ResultCode.SETTINGS_INVALID, "data_dir: the key is required")
        return CoordinationSettings(
            host=self.node_name,
            ip=self.ip,
            port=self._inner_port(),
            http_port=_listen_port(self.listen, "control_plane"),
            seeds=_ip_addresses(self.seeds),
            may_bootstrap=self.bootstrap,
            tolerated_host_failures=self.fault_tolerance.machines,
            data_folder=Path(self.data_dir),
            exposure_share=self.bounds.exposure_share,
            exposure_extra_requests=self.bounds.exposure_slack,
            availability_zone=self.zone,
            limits=self.limits.process_limits(),
        )


def load_platform_settings() -> PlatformSettings:
    """Read the settings file that the environment variable ``BAOBABSTREAM_SETTINGS`` names.

    Raises
    ------
    SettingsError
        ``SETTINGS_UNREADABLE`` if the variable is not set, or the file cannot be read or is not
        TOML; ``SETTINGS_INVALID`` if a key is missing or a value has the wrong type.
    """
    path = os.environ.get(SETTINGS_PATH_VARIABLE)
    if not path:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{SETTINGS_PATH_VARIABLE} is not set")
    try:
        document = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        return convert(document, PlatformSettings)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    except ValidationError as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, f"{path}: {error}") from error


def _listen_port(listen: dict[str, str], key: str) -> int:
    """Return the port of a listener; raises ``SettingsError`` if its address has none.

    ``listen`` is the table of listeners, in which ``key`` is the name of this one. The port is the
    text after the last colon of its address, which has the form IP:PORT.
    """
    address = listen.get(key, "")
    port = address.rpartition(":")[2]
    if not port.isdigit():
        detail = f"listen.{key}: expected IP:PORT, got {address!r}"
        raise SettingsError(ResultCode.SETTINGS_INVALID, detail)
    return int(port)


def _ip_addresses(addresses: list[str]) -> tuple[str, ...]:
    """Return the IP addresses, the text before the last colon, of a list of IP:PORT texts."""
    return tuple(address.rpartition(":")[0] for address in addresses)
