"""Claims of non-idempotent requests, acquired from the control leader before anything is sent.

An idempotency key is a text that a caller chooses and sends again when it repeats a request. A
claim records that a request with such a key is running or has run, so that a repeat of the request
is not run a second time on any entry host. A caller's request arrives at an entry host.

The outcome of a claimed request is one of three: it finished with an answer, it did not run (which
releases the claim for a repeat), or it is unknown whether it ran. The actions ``FINISH``,
``NOT_RUN`` and ``UNKNOWN`` record these outcomes; ``CLAIM`` asks for the claim itself.
"""

from dataclasses import dataclass

from msgspec.structs import replace

from baobabstream.backends.service_client import ServiceAnswer
from baobabstream.control.claims import MAX_STORED_ANSWER_BYTES
from baobabstream.entry.leader_calls import (
    BACKGROUND_TIMEOUT_S,
    BackgroundTasks,
    call_leader_within,
)
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, RequestRefused
from baobabstream.membership.control_session import ControlSession
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import ClaimAction, ClaimReply, ClaimRequest

__all__ = ["ClaimClient", "ClaimKey"]

# Longest time that a request waits for its claim, retries included.
CLAIM_TIMEOUT_S = 3.0

_log = get_logger("entry")


@dataclass(frozen=True, slots=True)
class ClaimKey:
    """What a claim is for, and the identity of the request that makes it.

    Client account and idempotency key name the claim. ``body_digest`` is a digest of the content of
    the request and distinguishes different requests under the same idempotency key. ``request_id``
    is the identity of the request, which the entry gave it.
    """

    client_account: str
    idempotency_key: str
    body_digest: str
    request_id: str


class ClaimClient:
    """Acquires claims from the control leader and records their outcomes.

    Parameters
    ----------
    control
        Connection to the control hosts.
    host
        Name of this entry host.
    background_tasks
        Runs the calls that outlive their request.
    """

    def __init__(
        self, control: ControlSession, host: str, background_tasks: BackgroundTasks
    ) -> None:
        self._control = control
        self._host = host
        self._background_tasks = background_tasks

    async def acquire(self, claim_key: ClaimKey) -> ServiceAnswer | None:
        """Acquire the claim and return None, or return the stored answer of a finished request.

        A stored answer means that the request has run before and must not be sent again.

        Raises
        ------
        RequestRefused
            ``CLAIM_UNAVAILABLE`` if the control leader did not answer in time, else the code with
            which it refused the claim, such as ``REQUEST_IN_PROGRESS``.
        """
        try:
            reply: ClaimReply = await call_leader_within(
                self._control, self._claim_request(ClaimAction.CLAIM, claim_key), CLAIM_TIMEOUT_S
            )
        except PeerError as error:
            # The claim may have been recorded although no reply came. It is released, since nothing
            # was sent to a backend server.
            self._background_tasks.start(self.record_outcome(ClaimAction.NOT_RUN, claim_key))
            # The error response names a retry delay of one second.
            raise RequestRefused(ResultCode.CLAIM_UNAVAILABLE, retry_after_s=1.0) from error
        code = ResultCode(reply.code)
        if code is ResultCode.OK:
            return None
        # Without a content type, the answer was too large for the control hosts to store.
        if code is ResultCode.ALREADY_DONE and reply.content_type:
            return ServiceAnswer(reply.http_status, reply.content_type, reply.answer)
        raise RequestRefused(code)

    async def record_outcome(
        self, action: ClaimAction, claim_key: ClaimKey, answer: ServiceAnswer | None = None
    ) -> None:
        """Record the outcome of a claimed request at the control leader.

        The call is repeated for ``BACKGROUND_TIMEOUT_S`` seconds while no leader answers; after
        that, the failure is only logged, and it is unknown whether the leader has recorded the
        outcome. ``action`` is the outcome, and ``answer`` the answer of a finished request.
        """
        message = self._claim_request(action, claim_key, answer)
        try:
            await call_leader_within(self._control, message, BACKGROUND_TIMEOUT_S)
        except PeerError as error:
            _log.error(
                "Outcome of the claim of request %s could not be recorded: %s.",
                claim_key.request_id,
                error,
            )

    def _claim_request(
        self, action: ClaimAction, claim_key: ClaimKey, answer: ServiceAnswer | None = None
    ) -> ClaimRequest:
        """Return the message for an action on a claim, with the service's answer to store, if any.

        An answer over the size limit of the control hosts is left out except for its HTTP status.
        The incarnation is a number that changes with each start of this daemon; together with the
        host name it identifies the process that owns the claim.
        """
        claim_fields = (
            claim_key.client_account,
            claim_key.idempotency_key,
            claim_key.body_digest,
            claim_key.request_id,
        )
        request = ClaimRequest(
            action, *claim_fields, self._host, incarnation=self._control.incarnation
        )
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
