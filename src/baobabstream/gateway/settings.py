"""Start-up settings of a gateway daemon.

An entry host runs a gateway, which sends callers' requests to backend servers. It learns of the
servers and of the configuration from the coordination hosts.
"""

from dataclasses import dataclass

from baobabstream.resources.process_limits import ProcessLimits

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway daemon.

    Parameters
    ----------
    host, ip, availability_zone
        Name, IP address and availability zone of the host.
    front_port, ready_port
        Ports at which this host listens for callers, and for the load balancer's readiness check.
    inner_port
        Port at which coordination hosts listen for the protocol between the daemons.
    seeds
        Addresses of a few coordination hosts, from which the others are learned.
    heartbeat_s
        Seconds between two announcements of a backend server.
    stop_grace_s
        Seconds from the stop signal until the process is killed.
    retry_share, retry_slack, retry_window_s
        Limit of the retries that all hosts together send to a service in a time window: the retries
        allowed for each of its requests (a fraction), the number of further retries in a window,
        and the length of the window in seconds. A retry is every send of a request after its first.
    session_s
        Seconds without a request after which a session, a series of requests that a caller marks as
        belonging together, is no longer active.
    tunnel_port
        Port at which this host takes tunnels of other gateways to backend servers, or None without
        a free port for it; then it offers none.
    limits
        Memory and descriptors of the process.
    """

    host: str
    ip: str
    availability_zone: str
    front_port: int
    ready_port: int
    inner_port: int
    seeds: tuple[str, ...]
    heartbeat_s: float
    stop_grace_s: float
    retry_share: float
    retry_slack: float
    retry_window_s: float
    session_s: float
    tunnel_port: int | None = None
    limits: ProcessLimits = ProcessLimits()
