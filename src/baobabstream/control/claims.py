"""Claims on non-idempotent requests, part of the replicated configuration state.

An entry host claims a request by client account and idempotency key before it sends the
request to a backend server, so that the request runs at most once. The caller chooses the
idempotency key and uses it again when it resends the request. The owner of a claim is the process
of the entry host that made it; the incarnation number tells the successive processes of a host
apart.

The states of a claim are: ``claimed`` (open: the owner has not reported what became of the
request), ``finished`` (the request has run), ``not_run`` (the owner has reported that nothing was
sent, so the request may be claimed again) and ``unknown`` (it may have run, so it must not run
again). All control hosts keep the same table of claims by applying the same commands.
"""

from collections.abc import Iterator

from msgspec import Struct, field

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimAction, ClaimReply, ClaimRequest, ClaimState

__all__ = ["ClaimTable"]

# A larger answer is not stored, so that a resend reports the request as done without its answer.
MAX_STORED_ANSWER_BYTES = 4096
# An idempotency key protects against resends for one day; older claims are deleted.
CLAIM_RETENTION_MS = 24 * 3600 * 1000
# Memory limits: about 40 MB of claims and 16 MB of answers. A full table refuses new claims,
# since deleting a claim before its retention ends would let the request run twice.
MAX_CLAIMS = 100_000
MAX_ANSWERS_BYTES = 16 * 1024 * 1024

# For each state that an owner may report, the states in which the report takes effect.
_ALLOWED_SOURCE_STATES = {
    ClaimState.FINISHED: (ClaimState.CLAIMED, ClaimState.UNKNOWN),
    ClaimState.NOT_RUN: (ClaimState.CLAIMED,),
    ClaimState.UNKNOWN: (ClaimState.CLAIMED,),
}


class _Claim(Struct):
    """Claim on one request and, once it has finished, its stored answer.

    ``host`` and ``incarnation`` identify the owner, the process of an entry host that claimed the
    request. ``body_digest`` identifies the content of the request, and ``request_id`` the request
    of this owner; a resend by the caller has another one. ``wall_time_ms`` is the time of the claim
    in milliseconds since the Unix epoch. ``http_status``, ``answer`` and ``content_type`` describe
    the answer. They are 0 and empty until the request has finished; ``answer`` is also empty if it
    was too large to store or has been dropped.
    """

    body_digest: str
    request_id: str
    host: str
    incarnation: int
    state: ClaimState
    wall_time_ms: int
    http_status: int = 0
    answer: bytes = b""
    content_type: str = ""


class ClaimTable(Struct):
    """Claims by client account and idempotency key.

    Attributes
    ----------
    claims
        All claims by key, oldest first.
    open_keys
        Keys of the claims in state ``claimed``, whose requests may have been sent. The values are
        None: the dictionary serves as a set that keeps its order.
    answered_keys
        Keys of the claims whose answer is stored, oldest answer first; the values are None too.
    answers_bytes
        Total size of the stored answers in bytes.
    time_ms
        Latest wall time of any command in milliseconds since the Unix epoch. It never falls, even
        if the clock of a new leader is behind.

    Notes
    -----
    A claim in state ``claimed`` counts as possibly sent. The request can be claimed again only
    after the owner has reported that nothing was sent.
    """

    claims: dict[str, _Claim] = field(default_factory=dict)
    open_keys: dict[str, None] = field(default_factory=dict)
    answered_keys: dict[str, None] = field(default_factory=dict)
    answers_bytes: int = 0
    time_ms: int = 0

    def apply(self, request: ClaimRequest, wall_time_ms: int) -> ClaimReply:
        """Apply a claim request at a wall time in milliseconds since 1970 and return the reply.

        A request either asks for a claim or reports what became of a claimed request. A report that
        nothing was sent is stored even without a claim: it may have arrived before the request for
        the claim, which must then be refused.
        """
        self.time_ms = max(self.time_ms, wall_time_ms)
        self._drop_expired()
        # Client account names contain no line break, so that different pairs have different keys.
        key = f"{request.client_account}\n{request.idempotency_key}"
        claim = self.claims.get(key)
        if request.action is ClaimAction.CLAIM:
            return self._grant_claim(key, claim, request)
        if claim is None and request.action is ClaimAction.NOT_RUN:
            return self._store_claim(key, request, ClaimState.NOT_RUN)
        # There is no claim on the reported request, so it is not known whether that has run.
        if claim is None or claim.request_id != request.request_id:
            return ClaimReply(int(ResultCode.NOT_FOUND), ClaimState.UNKNOWN)
        return self._change_state(key, claim, request)

    def mark_open_claims_unknown(self, host: str, incarnation: int) -> int:
        """Set the open claims of a process of an entry host to unknown and return their number.

        Claims of earlier processes of the host, which have a lower incarnation, are included.
        Incarnation 0 selects exactly the claims that carry no incarnation, in which it is 0.
        """
        keys = [
            key
            for key in self.open_keys
            if self.claims[key].host == host
            and (self.claims[key].incarnation == 0) == (incarnation == 0)
            and self.claims[key].incarnation <= incarnation
        ]
        for key in keys:
            self.claims[key].state = ClaimState.UNKNOWN
            del self.open_keys[key]
        return len(keys)

    def owners_of_open_claims(self) -> Iterator[tuple[str, int]]:
        """Return the host and incarnation of the owner of each open claim."""
        return ((self.claims[key].host, self.claims[key].incarnation) for key in self.open_keys)

    def _grant_claim(self, key: str, claim: _Claim | None, request: ClaimRequest) -> ClaimReply:
        """Grant a claim if the request cannot have run, else return why it is refused.

        Parameters
        ----------
        key
            Client account and idempotency key, separated by a line break.
        claim
            Present claim with that key, or None if the key has no claim.
        request
            Request for the claim. The owner's repeated request for its open claim is granted. If
            the present claim is not ``not_run`` and has another body digest, the caller has used
            the key again for other content, and the request is refused.
        """
        if claim is None:
            return self._store_claim(key, request, ClaimState.CLAIMED)
        if claim.state is ClaimState.NOT_RUN:
            if claim.request_id == request.request_id:
                # A delayed duplicate of a claim that its owner has already released.
                return _claim_reply(ResultCode.CLAIM_UNAVAILABLE, claim)
            return self._store_claim(key, request, ClaimState.CLAIMED)
        if claim.body_digest != request.body_digest:
            return _claim_reply(ResultCode.IDEMPOTENCY_KEY_REUSED, claim)
        if claim.request_id == request.request_id and claim.state is ClaimState.CLAIMED:
            return _claim_reply(ResultCode.OK, claim)
        refusal_codes = {
            ClaimState.CLAIMED: ResultCode.REQUEST_IN_PROGRESS,
            ClaimState.FINISHED: ResultCode.ALREADY_DONE,
            ClaimState.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
        }
        return _claim_reply(refusal_codes[claim.state], claim)

    def _store_claim(self, key: str, request: ClaimRequest, state: ClaimState) -> ClaimReply:
        """Store a new claim in a state and return the reply.

        A full table refuses it; the reply then says that the request has not run.
        """
        if key not in self.claims and len(self.claims) >= MAX_CLAIMS:
            return ClaimReply(int(ResultCode.CLAIM_UNAVAILABLE), ClaimState.NOT_RUN)
        # Removed first, so that the claims stay ordered by time.
        self.claims.pop(key, None)
        claim = _Claim(
            request.body_digest,
            request.request_id,
            request.host,
            request.incarnation,
            state,
            self.time_ms,
        )
        self.claims[key] = claim
        if state is ClaimState.CLAIMED:
            self.open_keys[key] = None
        return _claim_reply(ResultCode.OK, claim)

    def _change_state(self, key: str, claim: _Claim, request: ClaimRequest) -> ClaimReply:
        """Apply the state that the owner reports, if the present state allows the transition.

        The reply is ``OK`` with the resulting state in either case.
        """
        # Each reporting action has the value of the state that it reports.
        new_state = ClaimState(request.action.value)
        if claim.state not in _ALLOWED_SOURCE_STATES[new_state]:
            return _claim_reply(ResultCode.OK, claim)
        claim.state = new_state
        self.open_keys.pop(key, None)
        if new_state is ClaimState.FINISHED:
            claim.http_status = request.http_status
            claim.content_type = request.content_type
            self._store_answer(key, claim, request.answer)
        return _claim_reply(ResultCode.OK, claim)

    def _store_answer(self, key: str, claim: _Claim, answer: bytes) -> None:
        """Store an answer if it is small enough; drop the oldest answers above the size limit.

        An empty ``answer`` means that there is none to store.
        """
        if not answer or len(answer) > MAX_STORED_ANSWER_BYTES:
            return
        claim.answer = answer
        self.answered_keys[key] = None
        self.answers_bytes += len(answer)
        while self.answers_bytes > MAX_ANSWERS_BYTES:
            self._drop_answer(next(iter(self.answered_keys)))

    def _drop_answer(self, key: str) -> None:
        """Delete a stored answer; the claim stays."""
        if key in self.answered_keys:
            del self.answered_keys[key]
            self.answers_bytes -= len(self.claims[key].answer)
            self.claims[key].answer = b""
            # An entry host replays a stored answer only if it has a content type.
            self.claims[key].content_type = ""

    def _drop_expired(self) -> None:
        """Delete the claims older than ``CLAIM_RETENTION_MS``; claims are ordered by time."""
        while self.claims:
            key = next(iter(self.claims))
            if self.claims[key].wall_time_ms + CLAIM_RETENTION_MS > self.time_ms:
                return
            self._drop_answer(key)
            self.open_keys.pop(key, None)
            del self.claims[key]


def _claim_reply(code: ResultCode, claim: _Claim) -> ClaimReply:
    """Return a reply with a result code and the contents of a claim."""
    return ClaimReply(
        int(code),
        claim.state,
        claim.request_id,
        claim.http_status,
        claim.answer,
        claim.content_type,
    )
