"""Claims on non-idempotent requests; a pure table."""

from msgspec import Struct, field

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimAction, ClaimReply, ClaimRequest, ClaimState

__all__ = ["ClaimTable"]

MAX_STORED_ANSWER_BYTES = 4096
# An idempotency key protects against resends for a day; older claims are dropped.
CLAIM_RETENTION_MS = 24 * 3600 * 1000


class _Claim(Struct):
    body_digest: str
    request_id: str
    host: str
    state: ClaimState
    wall_time_ms: int
    http_status: int = 0
    answer: bytes = b""
    content_type: str = ""


class ClaimTable(Struct):
    """Claims by client account and idempotency key."""

    claims: dict[str, _Claim] = field(default_factory=dict)

    def apply(self, request: ClaimRequest, wall_time_ms: int) -> ClaimReply:
        """Apply a claim call and return its reply."""
        self._drop_old(wall_time_ms)
        key = f"{request.client_account}\n{request.idempotency_key}"
        claim = self.claims.get(key)
        if request.action is ClaimAction.CLAIM:
            return self._claim(key, claim, request, wall_time_ms)
        if claim is None or claim.request_id != request.request_id:
            return ClaimReply(int(ResultCode.NOT_FOUND), ClaimState.UNKNOWN)
        return self._settle(claim, request)

    def _claim(
        self, key: str, claim: _Claim | None, request: ClaimRequest, wall_time_ms: int
    ) -> ClaimReply:
        if claim is not None and claim.body_digest != request.body_digest:
            return _reply(ResultCode.IDEMPOTENCY_KEY_REUSED, claim)
        if claim is None or claim.state is ClaimState.NOT_RUN:
            claim = _Claim(
                request.body_digest,
                request.request_id,
                request.host,
                ClaimState.CLAIMED,
                wall_time_ms,
            )
            self.claims[key] = claim
            return _reply(ResultCode.OK, claim)
        if claim.request_id == request.request_id and claim.state is ClaimState.CLAIMED:
            return _reply(ResultCode.OK, claim)
        codes = {
            ClaimState.CLAIMED: ResultCode.REQUEST_IN_PROGRESS,
            ClaimState.FINISHED: ResultCode.ALREADY_DONE,
            ClaimState.UNKNOWN: ResultCode.OUTCOME_UNKNOWN,
        }
        return _reply(codes[claim.state], claim)

    def _settle(self, claim: _Claim, request: ClaimRequest) -> ClaimReply:
        if claim.state is ClaimState.CLAIMED:
            claim.state = ClaimState(request.action.value)
            claim.http_status = request.http_status
            claim.content_type = request.content_type
            if len(request.answer) <= MAX_STORED_ANSWER_BYTES:
                claim.answer = request.answer
        return _reply(ResultCode.OK, claim)

    def _drop_old(self, wall_time_ms: int) -> None:
        while self.claims:
            key = next(iter(self.claims))
            if self.claims[key].wall_time_ms + CLAIM_RETENTION_MS > wall_time_ms:
                return
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
