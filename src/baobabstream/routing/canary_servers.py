"""Chooses the servers that run the target version of a rollout while it is tried with few requests.

A rollout moves a service from a base version to a target version. At first the target gets a small
share of the new sessions. Spread over all servers of the target, these requests would never load
one of them, and a version that is slow under load would look like a sound one. So a few servers get
them at a time, which are then loaded about like the servers of the base version.
"""

from collections.abc import Iterable
from math import ceil

from baobabstream.routing.session_versions import rollout_key
from baobabstream.routing.stable_hashing import hash_fraction
from baobabstream.wire.coordination_messages import RolloutRow

__all__ = ["canary_server_ids"]

# Seconds for which a group of servers is tried before the next one. Responses take one or two
# seconds, and a rollout at least ten.
GROUP_DURATION_S = 3.0


def canary_server_ids(row: RolloutRow, server_ids: Iterable[str]) -> frozenset[str]:
    """Return the servers of the target version that get its share of the requests at present.

    All hosts choose the same ones, by a hash of rollout and server and by the time of the rollout.

    Parameters
    ----------
    row
        The rollout.
    server_ids
        Identities of the servers of the target version.
    """
    key = rollout_key(row)
    ordered_ids = sorted(server_ids, key=lambda server_id: hash_fraction(f"{key}/{server_id}"))
    if row.settled or row.share >= 1 or not ordered_ids:
        return frozenset(ordered_ids)
    # With as many servers as the base version has, this number is loaded like those or less.
    group_size = max(1, ceil(len(ordered_ids) * row.share / (1 - row.share)))
    group_count = max(1, len(ordered_ids) // group_size)
    start = int(row.elapsed_s // GROUP_DURATION_S) % group_count * group_size
    return frozenset(ordered_ids[start : start + group_size])
