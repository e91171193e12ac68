"""Health of one control host, which it answers without the leader."""

from typing import Any

from baobabstream.control.group_member import GroupMember

__all__ = ["local_health"]


def local_health(member: GroupMember) -> dict[str, Any]:
    """Return the role, the configuration revision and the ledger state of this host.

    ``ledger_equal_to`` says for each other control host whether it had the same bills when it last
    answered.
    """
    return {
        "host": member.settings.host,
        "availability_zone": member.settings.availability_zone,
        "leader": member.log.leader,
        "term": member.log.term,
        "leads": member.leads,
        "revision": member.state.revision,
        "ledger_id": member.ledger.ledger_id,
        "bills": len(member.ledger),
        "ledger_digest": f"{member.ledger.digest:016x}",
        "ledger_equal_to": {
            peer: member.ledger_exchange.holds_same_bills_as(peer)
            for peer in sorted(member.peer_clients)
        },
    }
