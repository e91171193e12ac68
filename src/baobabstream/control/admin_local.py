"""Health of one control host, answered without the leader."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from baobabstream.control.daemon import ControlDaemon

__all__ = ["local_answer"]


def local_answer(daemon: "ControlDaemon") -> dict[str, Any]:
    """Return what this host knows about itself."""
    return {
        "host": daemon.settings.host,
        "availability_zone": daemon.settings.availability_zone,
        "leader": daemon.log.leader,
        "term": daemon.log.term,
        "leads": daemon.leads,
        "revision": daemon.state.revision,
        "ledger_id": daemon.ledger.ledger_id,
        "bills": len(daemon.ledger),
        "ledger_digest": f"{daemon.ledger.digest:016x}",
        "ledger_equal_to": {
            peer: daemon.ledger_exchange.equal_to(peer) for peer in sorted(daemon.peers)
        },
    }
