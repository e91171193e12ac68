"""Claims on non-idempotent requests; a pure table."""

from collections.abc import Iterator

from msgspec import Struct, field

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimAction, ClaimReply, ClaimRequest, ClaimState

__all__ = ["ClaimTable"]

MAX_STORED_ANSWER_BYTES = 4096
# An idempotency key protects against resends for a day; older claims are dropped.
CLAIM_RETENTION_MS = 24 * 3600 * 1000
# About 40 MB of claims and 16 MB of answers. A full table refuses new claims, since dropping a
# claim within its retention would let the request run twice.
MAX_CLAIMS = 100_000
MAX_ANSWERS_BYTES = 16 * 1024 * 1024

_SETTLED_FROM = {
    ClaimState.FINISHED: (ClaimState.CLAIMED, ClaimState.UNKNOWN),
    ClaimState.NOT_RUN: (ClaimState.CLAIMED,),
    ClaimState.UNKNOWN: (ClaimState.CLAIMED,),
}


class _Claim(Struct):
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
        All claims, oldest first.
    open_keys
        Keys of the claims in state ``claimed``, which may have been sent.
    answered_keys
        Keys of the claims whose answer is stored, oldest first.
    time_ms
        Latest wall time that a command carried; a new leader's clock may be behind.

    Notes
    -----
    A claim in state ``claimed`` counts as possibly sent. A second claim is granted only after the
    owner has reported that nothing was sent.
    """

    claims: dict[str, _Claim] = field(default_factory=dict)
    open_keys: dict[str, None] = field(default_factory=dict)
    answered_keys: dict[str, None] = field(default_factory=dict)
    answers_bytes: int = 0
    time_ms: int = 0

    def apply(self, request: ClaimRequest, wall_time_ms: int) -> ClaimReply:
        """Apply a claim call and return its reply."""
        self.time_ms = max(self.time_ms, wall_time_ms)
        self._drop_old()
        key = f"{request.client_account}\n{request.idempotency_key}"
        claim = self.claims.get(key)
        if request.action is ClaimAction.CLAIM:
            return self._claim(key, claim, request)
        if claim is None and request.action is ClaimAction.NOT_RUN:
            return self._store(key, request, ClaimState.NOT_RUN)
        if claim is None or claim.request_id != request.request_id:
            return ClaimReply(int(ResultCode.NOT_FOUND), ClaimState.UNKNOWN)
        return self._settle(key, claim, request)

    def mark_gone(self, host: str, incarnation: int) -> int:
        """Make the open claims of an entry's process unknown and return their number.

        Incarnation 0 stands for claims that do not name one.
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

    def open_owners(self) -> Iterator[tuple[str, int]]:
        """Return host and incarnation of the owner of each open claim."""
        return ((self.claims[key].host, self.claims[key].incarnation) for key in self.open_keys)

    def _claim(self, key: str, claim: _Claim | None, request: ClaimRequest) -> ClaimReply:
        if claim is None:
            return self._store(key, request, ClaimState.CLAIMED)
        if claim.state is ClaimState.NOT_RUN:
            if claim.request_id == request.request_id:
                # A delayed copy of a claim that its owner has already released.
                return _reply(ResultCode.CLAIM_UNAVAILABLE, claim)
            return self._store(key, request, ClaimState.CLAIMED)
        if claim.body_digest != request.body_digest:
            return _reply(ResultCode.IDEMPOTENCY_KEY_REUSED, claim)
        if claim.request_id == request.request_id and claim.state is ClaimState.CLAIMED:
            return _reply(ResultCode.OK, claim)
        codes = {
            ClaimState.CLAIMED: ResultCode.REQUEST_IN_PROGRESS,
            ClaimState.FINISHED: ResultCode.ALREADY_DONE,
            ClaimState.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
        }
        return _reply(codes[claim.state], claim)

    def _store(self, key: str, request: ClaimRequest, state: ClaimState) -> ClaimReply:
        if key not in self.claims and len(self.claims) >= MAX_CLAIMS:
            return ClaimReply(int(ResultCode.CLAIM_UNAVAILABLE), ClaimState.NOT_RUN)
        # Removed first, so that the table stays in the order of time.
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
        return _reply(ResultCode.OK, claim)

    def _settle(self, key: str, claim: _Claim, request: ClaimRequest) -> ClaimReply:
        wanted = ClaimState(request.action.value)
        if claim.state not in _SETTLED_FROM[wanted]:
            return _reply(ResultCode.OK, claim)
        claim.state = wanted
        self.open_keys.pop(key, None)
        if wanted is ClaimState.FINISHED:
            claim.http_status = request.http_status
            claim.content_type = request.content_type
            self._keep_answer(key, claim, request.answer)
        return _reply(ResultCode.OK, claim)

    def _keep_answer(self, key: str, claim: _Claim, answer: bytes) -> None:
        if not answer or len(answer) > MAX_STORED_ANSWER_BYTES:
            return
        claim.answer = answer
        self.answered_keys[key] = None
        self.answers_bytes += len(answer)
        while self.answers_bytes > MAX_ANSWERS_BYTES:
            self._drop_answer(next(iter(self.answered_keys)))

    def _drop_answer(self, key: str) -> None:
        if key in self.answered_keys:
            del self.answered_keys[key]
            self.answers_bytes -= len(self.claims[key].answer)
            self.claims[key].answer = b""
            # An entry replays an answer only if it has a content type.
            self.claims[key].content_type = ""

    def _drop_old(self) -> None:
        while self.claims:
            key = next(iter(self.claims))
            if self.claims[key].wall_time_ms + CLAIM_RETENTION_MS > self.time_ms:
                return
            self._drop_answer(key)
            self.open_keys.pop(key, None)
            del self.claims[key]


def _reply(code: ResultCode, claim: _Claim) -> ClaimReply:
    return ClaimReply(
        int(code),
        claim.state,
        claim.request_id,
        claim.http_status,
        claim.answer,
        claim.content_type,
    )
