"""What a gateway daemon needs to know at its start."""

from dataclasses import dataclass

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway daemon.

    Parameters
    ----------
    host, ip, availability_zone
        Name, address and place of the host.
    front_port, ready_port
        Ports for callers, and for the load balancer's question whether the host takes requests.
    inner_port
        Port of the inner protocol at coordination hosts.
    seeds
        Addresses of a few coordination hosts.
    heartbeat_s
        Time between two announcements of a backend server.
    stop_grace_s
        Time from the signal to stop until the process is killed.
    retry_share, retry_slack, retry_window_s
        Second sends that all hosts together may make to a service in a time window: a share of
        its requests and a fixed number.
    session_s
        Time after which the next request of a session counts as a new session.
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
