"""Health of one control host, which it reports without asking the leader of the control hosts.

The ledger of a control host stores bills, which state the cost of answered requests. The control
hosts exchange their bills, so that in the end all ledgers hold the same ones.
"""

from typing import Any

from baobabstream.control.group_member import GroupMember

__all__ = ["local_health"]


def local_health(member: GroupMember) -> dict[str, Any]:
    """Return the role, the configuration revision and the ledger state of this host.

    ``leader`` is the host name of the leader, empty if none is known. ``leads`` says whether this
    host leads and holds the leader lease, ``term`` is the term of the replicated log, which rises
    with each election, and ``revision`` the number of the last change of the configuration.
    ``bills`` is the number of bills in the ledger, and ``ledger_id`` a random identity of its file.
    Ledgers with the same bills have the same digest, a 64-bit number. ``ledger_equal_to`` says for
    each other control host whether it had the same bills when it last answered.
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
        # The 64-bit digest as 16 hexadecimal digits.
        "ledger_digest": f"{member.ledger.digest:016x}",
        "ledger_equal_to": {
            peer: member.ledger_exchange.holds_same_bills_as(peer)
            for peer in sorted(member.peer_clients)
        },
    }
