"""Decodes a chat request and checks it against the configuration.

A work class is a configured class of requests with its own targets for quality, latency and cost. A
session pin binds the requests of a session, a conversation of several requests, to one model
version. The fingerprint of a request is a digest of its client account and body, by which a request
that crashes backend servers is recognised when it is repeated.

A caller is a client that sends requests; each belongs to a client account. A token is the unit of
text that a model reads and generates. The routing policy decides which backend server runs a
request, and a bill records the tokens and the cost of one. A model version is active while it may
serve requests. A row is one record of the configuration, and the view the entry's copy of it.
"""

import hashlib
from dataclasses import dataclass

from aiohttp import web

from baobabstream.entry.chat_models import ChatBody, decode_chat_body
from baobabstream.entry.idempotency import bill_identity, body_digest, read_idempotency_key
from baobabstream.entry.sessions import SessionPin, SessionTokens
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.events import RequestInfo
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import AccountRow, VersionState

__all__ = ["ChatRequest", "read_chat_request"]

# Expected length of an answer in tokens if the caller sets no limit.
DEFAULT_OUTPUT_TOKENS = 256
# Estimate of the mean length of a token in a request body.
BYTES_PER_TOKEN = 4
# Model names with which the caller lets the policy choose the model.
AUTOMATIC_MODEL_NAMES = ("", "auto")
# Session token with which a caller asks for a new session.
NEW_SESSION_TOKEN = "new"


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A decoded chat request.

    Attributes
    ----------
    request_info
        The request as the routing policy sees it.
    body
        The decoded body.
    bill_id
        Identity under which the request is billed.
    wants_session
        Whether the answer carries a session token, which the caller sends with its next request.
    """

    request_info: RequestInfo
    body: ChatBody
    bill_id: str
    wants_session: bool


def read_chat_request(
    request: web.Request,
    raw_body: bytes,
    request_id: str,
    account: AccountRow,
    view: ClusterView,
    session_tokens: SessionTokens,
) -> ChatRequest:
    """Decode and check a request.

    Parameters
    ----------
    request
        The caller's HTTP request, of which the headers are read.
    raw_body
        Its body.
    request_id
        Identity given to the request.
    account
        Client account of the caller.
    view
        Configuration to check against.
    session_tokens
        Verifies the signature of a session token and reads the pin from it.

    Raises
    ------
    RequestRefused
        With the code of the first part that is not valid.

    Notes
    -----
    ``prompt_tokens`` is estimated from the length of the body, since the entry does not split the
    text into tokens. ``expected_output_tokens`` is the caller's limit on the answer, if it sets
    one. Any session token asks for one in the answer, also one that asks for a new session.
    """
    body = decode_chat_body(raw_body)
    idempotency_key = read_idempotency_key(request)
    session_token = request.headers.get("X-Session-Token", "")
    pin = None
    if session_token and session_token != NEW_SESSION_TOKEN:
        pin = session_tokens.read(session_token, account.name)
        _check_pin(pin, view)
    model = pin.model if pin is not None else _requested_model(body, view)
    # The zero byte separates name and body, so that no other division gives the same bytes.
    fingerprint = hashlib.sha256(account.name.encode() + b"\0" + raw_body).hexdigest()
    request_info = RequestInfo(
        request_id=request_id,
        client_account=account.name,
        work_class=_requested_work_class(request, account, view),
        model=model,
        pinned_version=pin.version if pin is not None else "",
        prompt_tokens=len(raw_body) // BYTES_PER_TOKEN,
        expected_output_tokens=(
            body.max_tokens or body.max_completion_tokens or DEFAULT_OUTPUT_TOKENS
        ),
        fingerprint=fingerprint,
        streaming=bool(body.stream),
    )
    return ChatRequest(
        request_info,
        body,
        bill_identity(idempotency_key, body_digest(raw_body), request_id),
        bool(session_token),
    )


def _requested_work_class(request: web.Request, account: AccountRow, view: ClusterView) -> str:
    """Return the work class named by the caller, or the default of its account.

    Raises RequestRefused with ``UNKNOWN_CLASS`` if the configuration has no such class.
    """
    work_class = request.headers.get("X-Work-Class") or account.default_class
    if work_class not in view.classes:
        # The name is cut to 64 characters, since the caller may send one of any length.
        raise RequestRefused(ResultCode.UNKNOWN_CLASS, f"class {work_class[:64]!r}")
    return work_class


def _requested_model(body: ChatBody, view: ClusterView) -> str:
    """Return the model named by the caller, or an empty string to let the policy choose.

    Raises RequestRefused with ``UNKNOWN_MODEL`` if the configuration has no such model.
    """
    if body.model in AUTOMATIC_MODEL_NAMES:
        return ""
    # The keys of ``view.versions`` are pairs of model and version.
    if not any(model == body.model for model, _ in view.versions):
        raise RequestRefused(ResultCode.UNKNOWN_MODEL, f"model {body.model!r}")
    return body.model


def _check_pin(pin: SessionPin, view: ClusterView) -> None:
    """Raise RequestRefused if the pinned model version is no longer active."""
    row = view.versions.get((pin.model, pin.version))
    if row is None or row.state is not VersionState.ACTIVE:
        raise RequestRefused(ResultCode.SESSION_VERSION_WITHDRAWN)
