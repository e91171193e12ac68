"""Start-up settings of a gateway daemon."""

from dataclasses import dataclass

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway daemon.

    Parameters
    ----------
    host, ip, availability_zone
        Name, address and availability zone of the host.
    front_port, ready_port
        Ports for callers, and for the load balancer's readiness check.
    inner_port
        Port of the protocol between the daemons, at coordination hosts.
    seeds
        Addresses of a few coordination hosts, from which the others are learned.
    heartbeat_s
        Seconds between two announcements of a backend server.
    stop_grace_s
        Seconds from the stop signal until the process is killed.
    retry_share, retry_slack, retry_window_s
        Retries that all hosts together may send to a service in a window of this many seconds: a
        share of its requests, and a fixed number of further ones.
    session_s
        Seconds without a request after which a session ends.
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
