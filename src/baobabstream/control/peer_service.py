"""Answers the messages of other daemons."""

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
    """Handlers of the inner protocol.

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
        """Answer one message.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` with the leader's name if only the leader may answer.
        """
        match message:
            case BillRequest():
                return await self._bill(message)
            case LedgerSyncRequest():
                return await self._member.ledger_exchange.answer(message)
            case PollRequest():
                return await self._poll(message)
            case ClaimRequest():
                return await self._claim(message)
            case SuspectRequest():
                return await self._suspect(message)
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

    async def _bill(self, request: BillRequest) -> BillReply:
        new_bills = await self._member.ledger.put(request.bills)
        settings = self._member.settings
        return BillReply(settings.host, settings.availability_zone, new_bills)

    async def _poll(self, request: PollRequest) -> PollReply:
        leadership = self._member.require_leadership()
        reply = await leadership.poll_service.poll(request, leadership.term)
        if self._member.require_leadership() is not leadership:
            raise PeerError(ResultCode.NO_LEADER)
        return reply

    async def _claim(self, request: ClaimRequest) -> ClaimReply:
        outcome = await self._member.propose(UpdateClaim(request, _wall_time_ms()))
        assert outcome.claim is not None
        state = outcome.claim.state.value
        self._member.timeline.emit(EventKind.CLAIM_CHANGED, request.request_id, detail=state)
        return outcome.claim

    async def _suspect(self, request: SuspectRequest) -> SuspectReply:
        command = RecordLoss(
            request.backend_server, request.incarnation, request.fingerprints, _wall_time_ms()
        )
        outcome = await self._member.propose(command)
        for fingerprint in outcome.quarantined:
            self._member.timeline.emit(EventKind.REQUEST_QUARANTINED, detail=fingerprint)
        return SuspectReply(outcome.quarantined)

    async def _start_trial(self, request: TrialRequest) -> TrialReply:
        outcome = await self._member.propose(StartTrial(request, _wall_time_ms()))
        assert outcome.trial is not None
        return outcome.trial

    async def _end_trial(self, request: TrialEnd) -> TrialEndReply:
        await self._member.propose(EndTrial(request))
        return TrialEndReply()


def _wall_time_ms() -> int:
    return time.time_ns() // 1_000_000
