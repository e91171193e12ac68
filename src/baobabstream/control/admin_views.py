"""Documents that the leader returns for reads of the admin interface.

Configuration is stored as rows. A deleted row leaves a row entry without a row. The revision is
the number of the last change of the rows. An entry process receives the callers' requests, and may
do so only while it holds a lease from the leader. A bill states the cost of a request; each
control host stores bills in its ledger. The registry lists the backend servers that have announced
themselves to the leader; it is warm once every running one has had time to do so.
"""

import time
from typing import Any

from msgspec import to_builtins

from baobabstream.control.group_member import GroupMember
from baobabstream.wire.rows import BackendKind

__all__ = ["AdminViews"]

# The ledger adds up costs in billionths of the unit in which bills state them.
_NANO_PER_UNIT = 1_000_000_000


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
        """Return all present rows, and the operator revision that a change must be based on."""
        state = self._member.state
        rows = [
            to_builtins(row_entry) for row_entry in state.rows.values() if row_entry.row is not None
        ]
        return {
            "revision": state.revision,
            "operator_revision": state.operator_revision,
            "rows": rows,
        }

    def rows(self, kind: str) -> list[dict[str, Any]]:
        """Return the present rows of one kind with the revision of their last change.

        ``kind`` is the part of a row key before the slash, such as ``version``.
        """
        row_entries = self._member.state.rows.values()
        return [
            {"revision": row_entry.revision} | to_builtins(row_entry.row)
            for row_entry in row_entries
            if row_entry.row is not None and row_entry.key.startswith(f"{kind}/")
        ]

    def status(self) -> dict[str, Any]:
        """Return leader, term, revision, entry leases, backend servers and number of bills.

        ``entries`` holds the leases of the entry processes that have not expired. ``term`` is the
        term of the replicated log, which rises with each election.
        """
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
        """Return the control hosts of the settings and those of the log's membership.

        ``membership`` is ``voter`` for a member whose vote counts in elections, and ``learner`` for
        one that only receives the log. A host is listed several times if the log's membership
        still contains it with an earlier data folder, which it has lost. A host that is no member
        is listed once with the membership ``none`` and an empty ``member_id``, which identifies a
        data folder. ``in_settings`` says whether the settings name the host; if they do not, its
        availability zone is empty. ``ledger_equal`` says whether its ledger holds the same bills as
        this host's.
        """
        member = self._member
        availability_zones = {peer.host: peer.availability_zone for peer in member.settings.control}
        memberships_by_host: dict[str, list[tuple[str, str]]] = {
            host: [] for host in availability_zones
        }
        membership = member.log.membership
        for membership_kind, log_members in (
            ("voter", membership.voters),
            ("learner", membership.learners),
        ):
            for log_member in log_members:
                memberships_by_host.setdefault(log_member.host, []).append(
                    (membership_kind, log_member.member_id)
                )
        return [
            {
                "host": host,
                "availability_zone": availability_zones.get(host, ""),
                "membership": membership_kind,
                "member_id": member_id,
                "in_settings": host in availability_zones,
                "leader": host == member.log.leader,
                "ledger_equal": host == member.settings.host
                or (
                    host in member.peer_clients and member.ledger_exchange.holds_same_bills_as(host)
                ),
            }
            for host, host_memberships in memberships_by_host.items()
            for membership_kind, member_id in host_memberships or [("none", "")]
        ]

    def readiness(self) -> dict[str, Any]:
        """Return whether the group serves and tolerates the loss of a control host.

        ``checks`` lists the conditions. ``leader`` is always true here, since without a leader the
        call is refused. ``entries`` requires an entry process with a lease that is not draining,
        that is, finishing its requests before it stops. ``engines`` requires a registered backend
        server that runs models. ``in_force`` requires that every entry process with a lease has
        applied the present revision. ``all_hosts_vote`` requires that all control hosts of the
        settings are voters, members whose votes count in elections, and answer.
        ``ledgers_equal`` requires that the other control hosts had the same bills as this one when
        they last answered.

        A control host that lost its disk must become a voter again before the group tolerates the
        loss of another one.
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
                member.ledger_exchange.holds_same_bills_as(peer) for peer in member.peer_clients
            ),
        }
        return {"ready": all(checks.values()), "checks": checks}

    def _all_hosts_vote(self) -> bool:
        """Return whether the voters of the log are the hosts of the settings, and all answer.

        There must be no learners, members that only receive the log.
        """
        log = self._member.log
        hosts = sorted(peer.host for peer in self._member.settings.control)
        voters = sorted(voter.host for voter in log.membership.voters)
        return voters == hosts and not log.membership.learners and log.all_voters_responsive()

    def bill_totals(self) -> list[dict[str, Any]]:
        """Return the number of bills and the sums of tokens and costs by client account.

        Costs are converted to the unit in which bills state them.
        """
        totals = self._member.ledger.totals()
        return [
            {
                "client_account": client_account,
                "bills": account_total.bills,
                "prompt_tokens": account_total.prompt_tokens,
                "output_tokens": account_total.output_tokens,
                "cost": account_total.cost_nano / _NANO_PER_UNIT,
            }
            for client_account, account_total in sorted(totals.items())
        ]
