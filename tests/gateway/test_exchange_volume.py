"""Tests that the exchanges of a gateway grow with what changes, and not with hosts times servers.

The pattern: hundreds of gateways, each with a few requests for dozens of servers, exchange with
every coordination host twice a second.
"""

from baobabstream.gateway.load_source import MAX_SILENCE_S, LoadSource
from baobabstream.gateway.sent_evidence import SentEvidence
from baobabstream.wire.coordination_messages import ServerEvidence

HOSTS = {"h1": "a", "h2": "b", "h3": "b", "h4": "c"}


def sources(load_source: LoadSource, now_s: float) -> list[str]:
    """Return the hosts that shall send the load."""
    return [host for host in HOSTS if load_source.is_source(host, now_s)]


def reply_all(load_source: LoadSource, now_s: float, silent_host: str = "") -> None:
    """Record replies of all hosts but one."""
    for host, zone in HOSTS.items():
        if host != silent_host:
            load_source.record_reply(host, zone, now_s)


def test_one_host_of_the_own_zone_sends_the_load():
    """Guards against a load of all servers from each host, most of it from other zones."""
    load_source = LoadSource("gw-1", "b")
    assert sources(load_source, 0.0) == list(HOSTS)
    reply_all(load_source, 1.0)
    assert len(chosen := sources(load_source, 1.1)) == 1
    assert HOSTS[chosen[0]] == "b"


def test_another_host_sends_the_load_when_the_first_one_is_silent():
    """Guards against a load that grows old because its host is cut off or has ended."""
    load_source = LoadSource("gw-1", "a")
    reply_all(load_source, 1.0)
    assert sources(load_source, 1.1) == ["h1"]
    reply_all(load_source, 2.0, silent_host="h1")
    later_s = 1.0 + MAX_SILENCE_S + 0.1
    assert len(sources(load_source, later_s)) == 1
    assert "h1" not in sources(load_source, later_s)


def test_gateways_without_a_host_in_their_zone_spread_over_all():
    """Guards against one host that sends the load to all gateways of a zone without hosts."""
    chosen = set()
    for number in range(40):
        load_source = LoadSource(f"gw-{number}", "z")
        reply_all(load_source, 1.0)
        chosen.update(sources(load_source, 1.0))
    assert chosen == set(HOSTS)


def test_only_changed_evidence_is_sent_until_the_host_restarts():
    """Guards against the counts of all servers in each exchange, and against losing a change."""
    counts = [ServerEvidence("engine", "v2", f"i-{n}", 1, 0) for n in range(50)]
    sent = SentEvidence()
    assert sent.unsent(counts) == tuple(counts)
    # The exchange failed, so that all is sent again.
    assert sent.unsent(counts) == tuple(counts)
    sent.record_sent(counts)
    assert sent.unsent(counts) == ()
    changed = ServerEvidence("engine", "v2", "i-7", 1, 1)
    assert sent.unsent([*counts[:7], changed, *counts[8:]]) == (changed,)
    assert SentEvidence().unsent(counts) == tuple(counts)
