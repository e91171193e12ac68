"""Answers the messages of entry hosts and other control hosts.

These messages form the inner protocol. Some may be answered by any control host, such as bills;
most only by the leader. An entry host receives the callers' requests. It gets the configuration
and a lease, without which it may not act on it, in the replies to its polls. A bill states the cost
of a request. A claim makes sure that a non-idempotent request runs at most once. A fingerprint
identifies requests with equal content. It is a suspect if such a request ran on a backend server
when that was lost, that is, failed. It then runs only in a trial on a single server; after repeated
losses it is quarantined and does not run. The ledger of a control host stores bills.
"""

import time

from msgspec import Struct

from baobabstream.control.admin_api import AdminApi
from baobabstream.control.commands import EndTrial, RecordLoss, StartTrial, UpdateClaim
from baobabstream.control.group_member import GroupMember
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.consensus_messages import (
    AppendRequest,
    JoinRequest,
    SnapshotRequest,
    TransferRequest,
    VoteRequest,
)
from baobabstream.wire.messages import (
    BillReply,
    BillRequest,
    ClaimReply,
    ClaimRequest,
    ForwardRequest,
    LedgerSyncRequest,
    PollReply,
    PollRequest,
    SuspectReply,
    SuspectRequest,
    TrialEnd,
    TrialEndReply,
    TrialReply,
    TrialRequest,
)

__all__ = ["PeerService"]


class PeerService:
    """Passes each message of the inner protocol to the part that answers it.

    Parameters
    ----------
    member
        The member of the control group that the handlers act on.
    admin
        Answers operators' calls that another control host has authenticated.
    """

    def __init__(self, member: GroupMember, admin: AdminApi) -> None:
        self._member = member
        self._admin = admin

    async def handle(self, sender: str, message: Struct) -> Struct:
        """Answer one message; those of elections and of the log itself go to the replicated log.

        Parameters
        ----------
        sender
            Name of the host that sent the message.
        message
            Decoded message.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` with the leader's name if only the leader may answer,
            ``MESSAGE_MALFORMED`` if no part answers messages of this type.
        """
        match message:
            case BillRequest():
                return await self._store_bills(message)
            case LedgerSyncRequest():
                return await self._member.ledger_exchange.answer(message)
            case PollRequest():
                return await self._answer_poll(message)
            case ClaimRequest():
                return await self._update_claim(message)
            case SuspectRequest():
                return await self._record_loss(message)
            case TrialRequest():
                return await self._start_trial(message)
            case TrialEnd():
                return await self._end_trial(message)
            case ForwardRequest():
                self._member.require_leadership()
                return await self._admin.answer_forwarded(message)
            case VoteRequest() | AppendRequest() | SnapshotRequest() | TransferRequest():
                return await self._member.log.handle(sender, message)
            case JoinRequest():
                return await self._member.log.handle(sender, message)
        raise PeerError(ResultCode.MESSAGE_MALFORMED, f"unexpected {type(message).__name__}")

    async def _store_bills(self, request: BillRequest) -> BillReply:
        """Store the bills of an entry host in the ledger, and report how many were new."""
        new_bills = await self._member.ledger.put(request.bills)
        settings = self._member.settings
        return BillReply(settings.host, settings.availability_zone, new_bills)

    async def _answer_poll(self, request: PollRequest) -> PollReply:
        """Answer a long poll, unless this host has lost the leader lease while the poll waited.

        A long poll is answered as soon as something has changed. Its reply grants an entry lease,
        which only a leader may grant.
        """
        leadership = self._member.require_leadership()
        reply = await leadership.poll_service.poll(request, leadership.term)
        if self._member.require_leadership() is not leadership:
            raise PeerError(ResultCode.NO_LEADER)
        return reply

    async def _update_claim(self, request: ClaimRequest) -> ClaimReply:
        """Commit a change of a claim and return the resulting state of the claim."""
        outcome = await self._member.propose(UpdateClaim(request, _wall_time_ms()))
        assert outcome.claim is not None
        claim_state = outcome.claim.state.value
        self._member.timeline.emit(EventKind.CLAIM_CHANGED, request.request_id, detail=claim_state)
        return outcome.claim

    async def _record_loss(self, request: SuspectRequest) -> SuspectReply:
        """Commit the loss of a backend server and the fingerprints of the requests it ran.

        Return those of the fingerprints that are quarantined.
        """
        command = RecordLoss(
            request.backend_server, request.incarnation, request.fingerprints, _wall_time_ms()
        )
        outcome = await self._member.propose(command)
        for fingerprint in outcome.quarantined:
            self._member.timeline.emit(EventKind.REQUEST_QUARANTINED, detail=fingerprint)
        return SuspectReply(outcome.quarantined)

    async def _start_trial(self, request: TrialRequest) -> TrialReply:
        """Commit a request for a trial; return the granted server or the time to ask again."""
        outcome = await self._member.propose(StartTrial(request, _wall_time_ms()))
        assert outcome.trial is not None
        return outcome.trial

    async def _end_trial(self, request: TrialEnd) -> TrialEndReply:
        """Commit the end of a trial, and whether the request ran and its server was lost.

        The reply is empty; it says that the end has been committed.
        """
        await self._member.propose(EndTrial(request))
        return TrialEndReply()


def _wall_time_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970, converted from nanoseconds."""
    return time.time_ns() // 1_000_000
