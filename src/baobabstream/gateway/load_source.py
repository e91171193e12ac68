"""Chooses the coordination host that sends a gateway the load of the other gateways.

All coordination hosts get the reports of all gateways, so each of them can send the load. One is
enough, if possible in the gateway's own availability zone, since traffic between zones is charged.
"""

from baobabstream.routing.stable_hashing import stable_hash

__all__ = ["LoadSource"]

# Time without a reply after which another host sends the load. Hosts reply twice a second.
MAX_SILENCE_S = 1.2


class LoadSource:
    """The coordination host that one gateway gets the load from.

    Parameters
    ----------
    gateway
        Name of the gateway. Gateways without a coordination host in their zone spread over the
        hosts by a hash of it.
    availability_zone
        Availability zone of the gateway.
    """

    def __init__(self, gateway: str, availability_zone: str) -> None:
        self._gateway = gateway
        self._availability_zone = availability_zone
        # By host: its availability zone, and the time of its last reply in seconds.
        self._last_replies: dict[str, tuple[str, float]] = {}

    def record_reply(self, host: str, availability_zone: str, now_s: float) -> None:
        """Record a reply of a host at a time in seconds."""
        self._last_replies[host] = (availability_zone, now_s)

    def is_source(self, host: str, now_s: float) -> bool:
        """Return whether a host shall send the load with its next reply.

        Before any host has replied lately, all of them shall.
        """
        replying_hosts = [
            other
            for other, (_, replied_s) in self._last_replies.items()
            if now_s - replied_s <= MAX_SILENCE_S
        ]
        if not replying_hosts:
            return True
        return host == min(
            replying_hosts,
            key=lambda other: (
                self._last_replies[other][0] != self._availability_zone,
                stable_hash(f"{self._gateway}/{other}"),
            ),
        )
