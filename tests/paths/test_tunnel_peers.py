"""Tests which gateways are asked for a tunnel."""

from collections import Counter
from random import Random

from baobabstream.coordination.gateway_contacts import MAX_TUNNEL_PEERS, GatewayContacts
from baobabstream.paths.tunnel_peers import AVOID_S, TunnelPeers
from baobabstream.wire.coordination_messages import ExchangeRequest


def test_gateways_are_asked_in_the_order_of_their_tunnels():
    """Guards against one helper that carries all tunnels of a gateway."""
    peers = TunnelPeers(Random(1))
    peers.set_addresses(["a", "b", "c"])
    for _ in range(30):
        peers.record_opened(peers.by_preference(0.0)[0])
    assert peers._tunnel_count == Counter(a=10, b=10, c=10)


def test_gateway_that_failed_is_asked_last_for_a_while():
    """Guards against a wait for a helper that is gone with each request."""
    peers = TunnelPeers(Random(1))
    peers.set_addresses(["a", "b"])
    peers.record_opened("b")
    peers.record_failure("a", 1.0)
    assert peers.by_preference(1.0) == ["b", "a"]
    assert peers.by_preference(1.0 + AVOID_S) == ["a", "b"]


def _contacts(gateway_count: int, cut_count: int) -> GatewayContacts:
    """Return the reports of gateways, the first of which offer no tunnels."""
    contacts = GatewayContacts()
    for number in range(gateway_count):
        address = "" if number < cut_count else f"10.0.{number // 250}.{number % 250}:7341"
        contacts.record_report(
            ExchangeRequest(f"gw-{number}", 1, 0, 0, 0, 0, 0.5, tunnel_address=address), 0.0
        )
    return contacts


def test_helpers_of_a_cut_zone_share_its_tunnels():
    """Guards against replies that grow with the gateways, and helpers that are named too often."""
    gateway_count, cut_count = 330, 110
    contacts = _contacts(gateway_count, cut_count)
    named: Counter[str] = Counter()
    for number in range(cut_count):
        peers = contacts.tunnel_peers(0.0, f"gw-{number}")
        assert len(set(peers)) == MAX_TUNNEL_PEERS
        named.update(peers)
    mean = cut_count * MAX_TUNNEL_PEERS / (gateway_count - cut_count)
    assert max(named.values()) <= 5 * mean


def test_gateway_is_not_named_to_itself():
    """Guards against a gateway that asks itself for a tunnel."""
    contacts = _contacts(3, 0)
    for number in range(3):
        assert f"10.0.0.{number}:7341" not in contacts.tunnel_peers(0.0, f"gw-{number}")
