"""Health of one control host, answered without the leader."""

from typing import Any

from baobabstream.control.group_member import GroupMember

__all__ = ["local_answer"]


def local_answer(member: GroupMember) -> dict[str, Any]:
    """Return what this host knows about itself."""
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
            peer: member.ledger_exchange.holds_same_bills_as(peer) for peer in sorted(member.peers)
        },
    }
