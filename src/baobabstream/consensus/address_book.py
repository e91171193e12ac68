"""Addresses of the control hosts, and which of them form and join a Raft group.

Control hosts are the hosts that keep the shared state of the cluster. A Raft group is the set of
members that keep the replicated log; each member runs on one host. The founders are the first
members of a new group. A host that is not a member asks others for admission. The hosts talk over
sockets of the messaging library nng, in the inner protocol of the cluster, which authenticates
them.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

__all__ = ["AddressBook", "FixedAddresses", "SeededAddresses"]


class AddressBook(ABC):
    """Finds the nng address of each host and decides which hosts may form and join a group."""

    @abstractmethod
    def url(self, host: str) -> str | None:
        """Return the nng address of a host, or None if it has none."""

    @abstractmethod
    def founders(self) -> tuple[str, ...]:
        """Return the hosts that become the first members of a new group; the first one forms it.

        Empty if this host may not take part in forming a group.
        """

    @abstractmethod
    def admission_contacts(self, member_hosts: Iterable[str]) -> tuple[str, ...]:
        """Return the hosts to ask for admission, this host perhaps among them.

        Parameters
        ----------
        member_hosts
            Hosts that are known to have a member in the group.
        """

    @abstractmethod
    def admits(self, host: str) -> bool:
        """Return whether an authenticated host may take part in the group."""


class FixedAddresses(AddressBook):
    """Addresses for a group whose settings name every host; all of them are founders.

    Parameters
    ----------
    urls
        nng address of each control host by name.
    """

    def __init__(self, urls: Mapping[str, str]) -> None:
        self._urls = urls

    def url(self, host: str) -> str | None:
        """Return the address from the settings, or None if they do not name the host."""
        return self._urls.get(host)

    def founders(self) -> tuple[str, ...]:
        """Return all hosts of the settings."""
        return tuple(self._urls)

    def admission_contacts(self, member_hosts: Iterable[str]) -> tuple[str, ...]:
        """Return all hosts of the settings."""
        return tuple(self._urls)

    def admits(self, host: str) -> bool:
        """Return whether the settings name the host."""
        return host in self._urls


class SeededAddresses(AddressBook):
    """Addresses for a group whose settings name a few hosts (seeds); other hosts ask to join.

    The name of a host is its IP address, so its nng address follows from its name.

    Parameters
    ----------
    seeds
        IP addresses of hosts that are members, or that form the group at its first start.
    port
        Port of the inner protocol, the same on each host.
    may_bootstrap
        Whether this is the first start of the whole system. Otherwise this host forms no group,
        since it would be a second one beside the group that exists.
    """

    def __init__(self, seeds: Iterable[str], port: int, may_bootstrap: bool) -> None:
        self._seeds = self._founders = tuple(sorted(set(seeds)))
        self._port = port
        self._may_bootstrap = may_bootstrap

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the seeds that the settings name now; the founders remain the seeds at the start.

        Hosts with other founders could form two groups.
        """
        self._seeds = tuple(sorted(set(seeds)))

    def url(self, host: str) -> str | None:
        """Return the address that follows from the name."""
        return f"tcp://{host}:{self._port}"

    def founders(self) -> tuple[str, ...]:
        """Return the seeds at the start if this is the first start of the system, else none."""
        return self._founders if self._may_bootstrap else ()

    def admission_contacts(self, member_hosts: Iterable[str]) -> tuple[str, ...]:
        """Return the seeds and all known members, each once and in this order."""
        return tuple(dict.fromkeys((*self._seeds, *member_hosts)))

    def admits(self, host: str) -> bool:
        """Return True: any host that the inner protocol has authenticated may join."""
        return True
