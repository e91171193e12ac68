"""Settings of a coordination daemon.

The coordination hosts are the members of a consensus group. Voters are the members whose majority
elects the leader and commits changes; further members only receive them.
"""

from dataclasses import dataclass
from pathlib import Path

from baobabstream.resources.process_limits import ProcessLimits

__all__ = ["CoordinationSettings"]


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """Settings of one coordination daemon.

    Parameters
    ----------
    host
        Name of the host in the decision log.
    ip
        IP address of the host; also the name of this member in the consensus group.
    port
        TCP port of the protocol between the system's own hosts, the same on every host.
    http_port
        TCP port of the HTTP interface for operators and backend servers.
    seeds
        IP addresses of a few members, through which this host finds the group.
    may_bootstrap
        Whether this host may form a new group, which is so at the first start of the whole system.
    tolerated_host_failures
        Number of coordination hosts that may fail at once without a loss of service.
    data_folder
        Folder of the durable state.
    exposure_share, exposure_extra_requests
        Limit of the requests that a new version may get during its rollout, since it may be bad: a
        share (0 to 1) of its service's requests, plus a fixed number of requests.
    availability_zone
        Availability zone of the host, or empty if it is not known.
    limits
        Memory and descriptors of the process.
    """

    host: str
    ip: str
    port: int
    http_port: int
    seeds: tuple[str, ...]
    may_bootstrap: bool
    tolerated_host_failures: int
    data_folder: Path
    exposure_share: float = 0.15
    exposure_extra_requests: float = 30.0
    availability_zone: str = ""
    limits: ProcessLimits = ProcessLimits()

    @property
    def wanted_voters(self) -> int:
        """Number of voters of which a majority is left after the tolerated failures.

        Of 2 f + 1 voters, f may fail: the other f + 1 are a majority.
        """
        return 2 * self.tolerated_host_failures + 1
