"""Claims of non-idempotent requests, taken from the control leader before anything is sent."""

from dataclasses import dataclass

from msgspec.structs import replace

from baobabstream.backends.service_client import ServiceAnswer
from baobabstream.control.claims import MAX_STORED_ANSWER_BYTES
from baobabstream.entry.leader_calls import (
    BACKGROUND_LIMIT_S,
    BackgroundCalls,
    call_leader_within,
)
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, RequestRefused
from baobabstream.membership.control_session import ControlSession
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import ClaimAction, ClaimReply, ClaimRequest

__all__ = ["ClaimKey", "Claims"]

CLAIM_LIMIT_S = 3.0

_log = get_logger("entry")


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """What a claim is made on, and the request that makes it."""

    client_account: str
    idempotency_key: str
    body_digest: str
    request_id: str


class Claims:
    """Takes and settles claims.

    Parameters
    ----------
    control
        Connection to the control hosts.
    host
        Name of this entry host.
    background
        Runs the calls that outlive their request.
    """

    def __init__(self, control: ControlSession, host: str, background: BackgroundCalls) -> None:
        self._control = control
        self._host = host
        self._background = background

    async def take(self, key: ClaimKey) -> ServiceAnswer | None:
        """Take the claim, or return the answer of the request that already ran under it.

        Raises
        ------
        RequestRefused
            With the code of the reason why the request may not be sent.
        """
        try:
            reply: ClaimReply = await call_leader_within(
                self._control, self._message(ClaimAction.CLAIM, key), CLAIM_LIMIT_S
            )
        except PeerError as error:
            # The claim may have been recorded although no answer came. Nothing was sent, so it
            # is released.
            self._background.start(self.settle(ClaimAction.NOT_RUN, key))
            raise RequestRefused(ResultCode.CLAIM_UNAVAILABLE, retry_after_s=1.0) from error
        code = ResultCode(reply.code)
        if code is ResultCode.OK:
            return None
        # An answer over the size limit of the control hosts is stored without content type.
        if code is ResultCode.ALREADY_DONE and reply.content_type:
            return ServiceAnswer(reply.http_status, reply.content_type, reply.answer)
        raise RequestRefused(code)

    async def settle(
        self, action: ClaimAction, key: ClaimKey, answer: ServiceAnswer | None = None
    ) -> None:
        """Record the outcome of a claimed request, however long the leader is away."""
        message = self._message(action, key, answer)
        try:
            await call_leader_within(self._control, message, BACKGROUND_LIMIT_S)
        except PeerError as error:
            _log.error("Claim of request %s is not settled: %s.", key.request_id, error)

    def _message(
        self, action: ClaimAction, key: ClaimKey, answer: ServiceAnswer | None = None
    ) -> ClaimRequest:
        identity = (key.client_account, key.idempotency_key, key.body_digest, key.request_id)
        request = ClaimRequest(action, *identity, self._host, incarnation=self._control.incarnation)
        if answer is None:
            return request
        if len(answer.body) > MAX_STORED_ANSWER_BYTES:
            return replace(request, http_status=answer.http_status)
        return replace(
            request,
            http_status=answer.http_status,
            answer=answer.body,
            content_type=answer.content_type,
        )
