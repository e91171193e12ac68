"""Reads the settings file of the platform."""

import os
import tomllib
from pathlib import Path

from msgspec import Struct, ValidationError, convert, field

from baobabstream.coordination.settings import CoordinationSettings
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError
from baobabstream.gateway.settings import GatewaySettings

__all__ = ["PlatformSettings", "load_platform_settings"]

SETTINGS_VARIABLE = "BAOBABSTREAM_SETTINGS"
MS = 0.001


class _Bounds(Struct):
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    # Share of a service's requests that may be sent a second time.
    retry_ratio: float = 0.5
    # Second sends beyond that share, over all hosts.
    retry_slack: float = 10.0
    budget_window_s: float = 10.0
    session_s: float = 5.0
    exposure_share: float = 0.15
    exposure_slack: float = 30.0
    pass_ms: float = 120.0


class _Limits(Struct):
    memory_mb: float = 128.0
    max_fds: int = 1024


class _FaultTolerance(Struct):
    machines: int = 1


class PlatformSettings(Struct):
    """The fields of the settings file that are used; others are ignored."""

    node_name: str
    ip: str
    zone: str
    internal_ports: list[int]
    # Control addresses of a few hosts as IP:PORT; the port is not the one of the inner protocol.
    seeds: list[str]
    listen: dict[str, str]
    # Whether the whole system starts for the first time.
    bootstrap: bool = False
    heartbeat_ms: float = 1200.0
    data_dir: str = ""
    bounds: _Bounds = field(default_factory=_Bounds)
    limits: _Limits = field(default_factory=_Limits)
    fault_tolerance: _FaultTolerance = field(default_factory=_FaultTolerance)

    def gateway(self) -> GatewaySettings:
        """Return the settings of a gateway daemon."""
        bounds = self.bounds
        return GatewaySettings(
            host=self.node_name,
            ip=self.ip,
            availability_zone=self.zone,
            front_port=_port(self.listen, "frontend"),
            ready_port=_port(self.listen, "readiness"),
            inner_port=self.internal_ports[0],
            seeds=_ips(self.seeds),
            heartbeat_s=self.heartbeat_ms * MS,
            stop_grace_s=bounds.grace_s,
            retry_share=bounds.retry_ratio,
            retry_slack=bounds.retry_slack,
            retry_window_s=bounds.budget_window_s,
            session_s=bounds.session_s,
        )

    def coordination(self) -> CoordinationSettings:
        """Return the settings of a coordination daemon."""
        if not self.data_dir:
            raise SettingsError(ResultCode.SETTINGS_INVALID, "data_dir: a folder is needed")
        return CoordinationSettings(
            host=self.node_name,
            ip=self.ip,
            port=self.internal_ports[0],
            http_port=_port(self.listen, "control_plane"),
            seeds=_ips(self.seeds),
            may_bootstrap=self.bootstrap,
            tolerated_host_failures=self.fault_tolerance.machines,
            data_folder=Path(self.data_dir),
            exposure_share=self.bounds.exposure_share,
            exposure_extra_requests=self.bounds.exposure_slack,
        )


def load_platform_settings() -> PlatformSettings:
    """Return the settings of the file that the environment names.

    Raises
    ------
    SettingsError
        If the variable is missing, the file cannot be read, or a field has no usable value.
    """
    name = os.environ.get(SETTINGS_VARIABLE)
    if not name:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{SETTINGS_VARIABLE} is not set")
    try:
        values = tomllib.loads(Path(name).read_text(encoding="utf-8"))
        return convert(values, PlatformSettings)
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{name}: {error}") from error
    except ValidationError as error:
        raise SettingsError(ResultCode.SETTINGS_INVALID, f"{name}: {error}") from error


def _port(listen: dict[str, str], key: str) -> int:
    address = listen.get(key, "")
    port = address.rpartition(":")[2]
    if not port.isdigit():
        detail = f"listen.{key}: IP:PORT is needed, not {address!r}"
        raise SettingsError(ResultCode.SETTINGS_INVALID, detail)
    return int(port)


def _ips(addresses: list[str]) -> tuple[str, ...]:
    return tuple(address.rpartition(":")[0] for address in addresses)
