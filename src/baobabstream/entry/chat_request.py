"""What a chat request asks for, checked against the configuration."""

import hashlib
from dataclasses import dataclass

from aiohttp import web

from baobabstream.entry.chat_models import ChatBody, decode_chat_body
from baobabstream.entry.idempotency import bill_identity, body_digest, read_key
from baobabstream.entry.sessions import SessionPin, SessionTokens
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.events import RequestInfo
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import AccountRow, VersionState

__all__ = ["ChatRequest", "read_chat_request"]

DEFAULT_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4
AUTOMATIC_MODELS = ("", "auto")
NEW_SESSION = "new"


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A decoded chat request.

    Attributes
    ----------
    bill_id
        Identity under which the request is billed.
    wants_session
        Whether the answer carries a session token.
    """

    info: RequestInfo
    body: ChatBody
    bill_id: str
    wants_session: bool


def read_chat_request(
    request: web.Request,
    raw: bytes,
    request_id: str,
    account: AccountRow,
    view: ClusterView,
    sessions: SessionTokens,
) -> ChatRequest:
    """Decode a request.

    Raises
    ------
    RequestRefused
        With the code of the first part that is not valid.
    """
    body = decode_chat_body(raw)
    key = read_key(request)
    token = request.headers.get("X-Session-Token", "")
    pin = None
    if token and token != NEW_SESSION:
        pin = sessions.read(token, account.name)
        _check_pin(pin, view)
    model = pin.model if pin is not None else _model(body, view)
    digest = hashlib.sha256(account.name.encode() + b"\0" + raw).hexdigest()
    info = RequestInfo(
        request_id=request_id,
        client_account=account.name,
        work_class=_work_class(request, account, view),
        model=model,
        pinned_version=pin.version if pin is not None else "",
        prompt_tokens=len(raw) // BYTES_PER_TOKEN,
        expected_output_tokens=(
            body.max_tokens or body.max_completion_tokens or DEFAULT_OUTPUT_TOKENS
        ),
        fingerprint=digest,
        streaming=bool(body.stream),
    )
    return ChatRequest(info, body, bill_identity(key, body_digest(raw), request_id), bool(token))


def _work_class(request: web.Request, account: AccountRow, view: ClusterView) -> str:
    work_class = request.headers.get("X-Work-Class") or account.default_class
    if work_class not in view.classes:
        raise RequestRefused(ResultCode.UNKNOWN_CLASS, f"class {work_class[:64]!r}")
    return work_class


def _model(body: ChatBody, view: ClusterView) -> str:
    if body.model in AUTOMATIC_MODELS:
        return ""
    if not any(model == body.model for model, _ in view.versions):
        raise RequestRefused(ResultCode.UNKNOWN_MODEL, f"model {body.model!r}")
    return body.model


def _check_pin(pin: SessionPin, view: ClusterView) -> None:
    row = view.versions.get((pin.model, pin.version))
    if row is None or row.state is not VersionState.ACTIVE:
        raise RequestRefused(ResultCode.SESSION_VERSION_WITHDRAWN)
