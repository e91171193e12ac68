"""Tests how a gateway keeps the rejections of a brittle server low."""

from baobabstream.routing.gateway_ranks import GatewayRank
from baobabstream.routing.rejection_guard import MAX_PAUSE_S, RejectionGuard


def allows(guard: RejectionGuard, own_requests: int, now_s: float) -> bool:
    """Return whether one of four gateways may send to a server with 8 slots."""
    return guard.allows_request(own_requests, 8, "a.1", GatewayRank(0, 4), now_s)


def test_server_that_is_not_brittle_is_not_guarded():
    """Guards against a limit that stays after the server has recovered."""
    guard = RejectionGuard()
    guard.observe(4.0)
    guard.record_rejection(4, 1.0)
    assert guard.observe(None)
    assert allows(guard, 100, 1.0)
    assert guard.seconds_paused(1.0) == 0.0


def test_rejections_of_all_gateways_stay_below_the_number_of_the_server():
    """Guards against pauses that are too short for the number of gateways."""
    guard = RejectionGuard()
    guard.observe(5.0)
    gateway_count, rejections, now_s = 20, 0, 0.0
    while now_s < 100.0:
        if allows(guard, 0, now_s):
            guard.record_rejection(gateway_count, now_s)
            rejections += 1
        now_s += 0.1
    assert rejections * gateway_count / 100.0 <= 5.0


def test_server_that_may_reject_nothing_is_tried_again():
    """Guards against a server that is never used again."""
    guard = RejectionGuard()
    guard.observe(0.0)
    guard.record_rejection(4, 1.0)
    assert not allows(guard, 0, 1.0 + MAX_PAUSE_S / 2)
    assert allows(guard, 0, 1.0 + MAX_PAUSE_S)
