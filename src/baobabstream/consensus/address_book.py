"""Where the members of a group are found."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

__all__ = ["AddressBook", "FixedAddresses", "SeededAddresses"]


class AddressBook(ABC):
    """Knows the nng address of each host and who forms a new group."""

    @abstractmethod
    def url(self, host: str) -> str | None:
        """Return the nng address of a host, or None if it has none."""

    @abstractmethod
    def founders(self) -> tuple[str, ...]:
        """Return the first members of a new group; the first of them forms it.

        Empty if no group may be formed.
        """

    @abstractmethod
    def admission_contacts(self, members: Iterable[str]) -> tuple[str, ...]:
        """Return the hosts to ask for admission.

        Parameters
        ----------
        members
            Hosts that are known to be members.
        """

    @abstractmethod
    def admits(self, host: str) -> bool:
        """Return whether an authenticated host may take part."""


class FixedAddresses(AddressBook):
    """Every host is named in the settings; all of them found the group.

    Parameters
    ----------
    urls
        nng address of each control host by name.
    """

    def __init__(self, urls: Mapping[str, str]) -> None:
        self._urls = urls

    def url(self, host: str) -> str | None:
        """Return the address from the settings."""
        return self._urls.get(host)

    def founders(self) -> tuple[str, ...]:
        """Return all hosts of the settings."""
        return tuple(self._urls)

    def admission_contacts(self, members: Iterable[str]) -> tuple[str, ...]:
        """Return all hosts of the settings."""
        return tuple(self._urls)

    def admits(self, host: str) -> bool:
        """Return whether the settings name the host."""
        return host in self._urls


class SeededAddresses(AddressBook):
    """A few hosts are named in the settings; the others announce themselves.

    The name of a host is its IP address, so an address follows from a name.

    Parameters
    ----------
    seeds
        IP addresses of hosts that are members, or found the group.
    port
        Port of the inner protocol, the same on each host.
    may_bootstrap
        Whether this is the first start of the whole system.
    """

    def __init__(self, seeds: Iterable[str], port: int, may_bootstrap: bool) -> None:
        self._seeds = self._founders = tuple(sorted(set(seeds)))
        self._port = port
        self._may_bootstrap = may_bootstrap

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take the hosts that the settings name now; the founders stay those of the start."""
        self._seeds = tuple(sorted(set(seeds)))

    def url(self, host: str) -> str | None:
        """Return the address that follows from the name."""
        return f"tcp://{host}:{self._port}"

    def founders(self) -> tuple[str, ...]:
        """Return the seeds at the first start of the system."""
        return self._founders if self._may_bootstrap else ()

    def admission_contacts(self, members: Iterable[str]) -> tuple[str, ...]:
        """Return the seeds and all known members."""
        return tuple(dict.fromkeys((*self._seeds, *members)))

    def admits(self, host: str) -> bool:
        """Return True: the proof of the inner protocol is enough."""
        return True
