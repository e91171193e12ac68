"""Reads of the admin interface on the leader."""

import time
from typing import Any

from msgspec import to_builtins

from baobabstream.control.group_member import GroupMember
from baobabstream.wire.rows import BackendKind

__all__ = ["AdminViews"]

_NANO = 1_000_000_000


class AdminViews:
    """Builds JSON documents from the state of the leader.

    Parameters
    ----------
    member
        The member of the control group whose state is shown.
    """

    def __init__(self, member: GroupMember) -> None:
        self._member = member

    def config(self) -> dict[str, Any]:
        """Return all rows with the revision that a change must be based on."""
        state = self._member.state
        rows = [to_builtins(entry) for entry in state.rows.values() if entry.row is not None]
        return {
            "revision": state.revision,
            "operator_revision": state.operator_revision,
            "rows": rows,
        }

    def rows(self, kind: str) -> list[dict[str, Any]]:
        """Return the rows of one kind with their revisions."""
        entries = self._member.state.rows.values()
        return [
            {"revision": entry.revision} | to_builtins(entry.row)
            for entry in entries
            if entry.row is not None and entry.key.startswith(f"{kind}/")
        ]

    def status(self) -> dict[str, Any]:
        """Return leader, revision, entry hosts and backend servers."""
        member = self._member
        leadership = member.require_leadership()
        now_s = time.monotonic()
        return {
            "leader": member.log.leader,
            "term": member.log.term,
            "revision": member.state.revision,
            "entries": [to_builtins(lease) for lease in leadership.leases.live(now_s)],
            "backends": [to_builtins(record) for record in leadership.registry.records()],
            "registry_warm": leadership.registry.is_warm(now_s),
            "bills": len(member.ledger),
        }

    def members(self) -> list[dict[str, Any]]:
        """Return the control hosts of the settings, and the members of the log that they lack.

        A host has several rows if the log still names the data folder that it lost.
        """
        member = self._member
        zones = {peer.host: peer.availability_zone for peer in member.settings.control}
        members: dict[str, list[tuple[str, str]]] = {host: [] for host in zones}
        membership = member.log.membership
        for kind, group in (("voter", membership.voters), ("learner", membership.learners)):
            for listed in group:
                members.setdefault(listed.host, []).append((kind, listed.member_id))
        return [
            {
                "host": host,
                "availability_zone": zones.get(host, ""),
                "membership": kind,
                "member_id": member_id,
                "in_settings": host in zones,
                "leader": host == member.log.leader,
                "ledger_equal": host == member.settings.host
                or (host in member.peers and member.ledger_exchange.holds_same_bills_as(host)),
            }
            for host, found in members.items()
            for kind, member_id in found or [("none", "")]
        ]

    def ready(self) -> dict[str, Any]:
        """Return whether the group serves and bears the loss of another control host.

        A control host that lost its disk must vote again before a second loss is survived.
        """
        member = self._member
        leadership = member.require_leadership()
        now_s = time.monotonic()
        records = leadership.registry.records()
        checks = {
            "leader": True,
            "all_hosts_vote": self._all_hosts_vote(),
            "registry_warm": leadership.registry.is_warm(now_s),
            "entries": any(not lease.draining for lease in leadership.leases.live(now_s)),
            "engines": any(record.kind is BackendKind.ENGINE for record in records),
            "in_force": leadership.leases.in_force(member.state.revision, now_s),
            "ledgers_equal": all(
                member.ledger_exchange.holds_same_bills_as(peer) for peer in member.peers
            ),
        }
        return {"ready": all(checks.values()), "checks": checks}

    def _all_hosts_vote(self) -> bool:
        log = self._member.log
        hosts = sorted(peer.host for peer in self._member.settings.control)
        voters = sorted(member.host for member in log.membership.voters)
        return voters == hosts and not log.membership.learners and log.all_voters_responsive()

    def billing(self) -> list[dict[str, Any]]:
        """Return the sums of the bills by client account."""
        totals = self._member.ledger.totals()
        return [
            {
                "client_account": name,
                "bills": total.bills,
                "prompt_tokens": total.prompt_tokens,
                "output_tokens": total.output_tokens,
                "cost": total.cost_nano / _NANO,
            }
            for name, total in sorted(totals.items())
        ]
