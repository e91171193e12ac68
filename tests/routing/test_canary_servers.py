"""Tests which servers run the target version of a rollout while it is tried.

The pattern: a version that is slow under load gets so few requests on each of its servers that none
of them is ever loaded.
"""

import pytest

from baobabstream.routing.canary_servers import GROUP_DURATION_S, canary_server_ids
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

SERVER_IDS = [f"i-{n}" for n in range(50)]


def make_rollout(share: float, elapsed_s: float = 2.0, settled: bool = False) -> RolloutRow:
    """Return a rollout in progress."""
    return RolloutRow(
        "engine", "v1", "v2", RolloutState.IN_PROGRESS, share, settled, elapsed_s, 30.0
    )


@pytest.mark.parametrize("server_count", [1, 2, 6, 50])
@pytest.mark.parametrize("share", [0.03, 0.0675, 0.3])
def test_tried_servers_are_loaded_like_the_others_but_not_more(server_count, share):
    """Guards against a trial without load, and against one that overloads its servers.

    The base version has as many servers as the target. One server is the least that can be tried.
    """
    chosen = canary_server_ids(make_rollout(share), SERVER_IDS[:server_count])
    target_load = share / len(chosen)
    base_load = (1 - share) / server_count
    assert target_load <= base_load
    assert len(chosen) == 1 or target_load > base_load / 2


def test_all_servers_are_tried_in_turn():
    """Guards against a version that is judged by a single server."""
    groups = [
        canary_server_ids(make_rollout(0.0675, n * GROUP_DURATION_S), SERVER_IDS[:6])
        for n in range(6)
    ]
    assert frozenset().union(*groups) == frozenset(SERVER_IDS[:6])
    assert all(len(group) == 1 for group in groups)


def test_hosts_choose_alike_and_keep_the_group_for_its_time():
    """Guards against gateways that spread the trial because each knows the servers differently."""
    row = make_rollout(0.0675, GROUP_DURATION_S)
    later_row = make_rollout(0.0675, 1.9 * GROUP_DURATION_S)
    assert canary_server_ids(row, SERVER_IDS) == canary_server_ids(later_row, SERVER_IDS[::-1])


def test_all_servers_are_used_once_all_requests_move():
    """Guards against a few servers that get all requests at the end of a rollout."""
    for row in (make_rollout(1.0), make_rollout(0.1, settled=True)):
        assert canary_server_ids(row, SERVER_IDS) == frozenset(SERVER_IDS)
