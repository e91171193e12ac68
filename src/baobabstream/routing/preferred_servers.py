"""Chooses the few servers of a service that one of many gateways uses while they are not busier.

A gateway that sends few requests to many servers finds no open connection to most of them, and has
seldom sent them a prompt that begins alike. It therefore prefers a stable part of them, those of
its availability zone first. The part grows with its rate, so that a gateway with many requests
uses all servers.
"""

from collections.abc import Iterable
from heapq import nsmallest
from math import ceil
from typing import NamedTuple

__all__ = ["PreferenceKey", "preferred_server_ids"]

# Time in seconds for which a connection without requests can usually be used again. A gateway
# prefers as many servers as it sends requests in this time.
CONNECTION_IDLE_S = 2.0
# Least number of preferred servers. The load of the servers stays even, as each gateway chooses the
# least loaded one of these.
MIN_PREFERRED_SERVERS = 3


class PreferenceKey(NamedTuple):
    """Order in which one gateway prefers servers, lowest first.

    ``hash_fraction`` is a hash of gateway and server, so that the gateways of a zone spread over
    its servers (rendezvous hashing).
    """

    is_other_zone: bool
    hash_fraction: float
    server_id: str


def preferred_server_ids(keys: Iterable[PreferenceKey], own_rate_per_s: float) -> frozenset[str]:
    """Return the identities of the servers that a gateway prefers.

    Parameters
    ----------
    keys
        Keys of the candidate servers.
    own_rate_per_s
        Requests per second that the gateway sends to the service.

    References
    ----------
    .. [1] D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit rates",
       IEEE/ACM Transactions on Networking 6(1), 1998 (rendezvous hashing).
    """
    count = max(MIN_PREFERRED_SERVERS, ceil(own_rate_per_s * CONNECTION_IDLE_S))
    return frozenset(key.server_id for key in nsmallest(count, keys))
