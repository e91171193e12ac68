"""What a coordination daemon needs to know at its start."""

from dataclasses import dataclass
from pathlib import Path

__all__ = ["CoordinationSettings"]


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """Settings of one coordination daemon.

    Parameters
    ----------
    host
        Name of the host in logs.
    ip
        Address of the host; the name of this member in the group.
    port
        Port of the inner protocol, the same on every host.
    http_port
        Port of the interface for operators and backend servers.
    seeds
        Addresses of a few members.
    may_found
        Whether this is the first start of the whole system.
    tolerated_losses
        Hosts that may be lost at once.
    data_folder
        Folder of the durable state.
    exposure_share, exposure_slack
        Requests that a version may get during its rollout, as a share of its service's requests
        and a fixed number.
    """

    host: str
    ip: str
    port: int
    http_port: int
    seeds: tuple[str, ...]
    may_found: bool
    tolerated_losses: int
    data_folder: Path
    exposure_share: float = 0.15
    exposure_slack: float = 30.0

    @property
    def wanted_voters(self) -> int:
        """Number of voters that keeps a majority after the tolerated losses."""
        return 2 * self.tolerated_losses + 1
