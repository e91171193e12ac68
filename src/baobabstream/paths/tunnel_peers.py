"""Other gateways through which this one may reach backend servers. Times are in seconds."""

from collections import Counter
from collections.abc import Iterable
from random import Random

__all__ = ["TunnelPeers"]

# Time for which a gateway that could not be reached, or took no tunnel, is asked last.
AVOID_S = 1.0


class TunnelPeers:
    """Addresses of other gateways, with the tunnels that this one has through each.

    Parameters
    ----------
    random
        Source of random numbers that decides between gateways with as many tunnels.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._addresses: tuple[str, ...] = ()
        self._tunnel_count: Counter[str] = Counter()
        self._avoided_until_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of known gateways."""
        return len(self._addresses)

    def set_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the known gateways."""
        self._addresses = tuple(addresses)
        self._avoided_until_s = {
            address: until_s
            for address, until_s in self._avoided_until_s.items()
            if address in self._addresses
        }

    def by_preference(self, now_s: float) -> list[str]:
        """Return the known gateways, those with the fewest tunnels of this one first.

        Gateways that have failed lately come last.
        """
        return sorted(
            self._addresses,
            key=lambda address: (
                self._avoided_until_s.get(address, 0.0) > now_s,
                self._tunnel_count[address],
                self._random.random(),
            ),
        )

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that a gateway could not be reached or took no tunnel."""
        self._avoided_until_s[address] = now_s + AVOID_S

    def record_opened(self, address: str) -> None:
        """Count a tunnel through a gateway."""
        self._tunnel_count[address] += 1

    def record_closed(self, address: str) -> None:
        """Take back a counted tunnel."""
        self._tunnel_count[address] -= 1
        if not self._tunnel_count[address]:
            del self._tunnel_count[address]
