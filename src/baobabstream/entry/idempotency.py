"""The caller's idempotency key and the identities derived from it.

An idempotency key is a text that a caller chooses and sends again when it repeats a request, so
that the repeat is recognised.

A bill records the tokens and the cost of one request; of several bills with the same identity, only
one counts. A digest is a short hash by which contents are compared.
"""

import hashlib

from aiohttp import web

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["bill_identity", "body_digest", "read_idempotency_key"]

IDEMPOTENCY_HEADER = "Idempotency-Key"
MAX_KEY_CHARACTERS = 256
# Digits that are kept of a digest; each stands for 4 bits.
DIGEST_HEX_DIGITS = 32


def read_idempotency_key(request: web.Request) -> str:
    """Return the caller's idempotency key, or an empty string if the header is missing.

    Raises
    ------
    RequestRefused
        ``MALFORMED_HEADER`` if the key is empty, too long or not printable ASCII.
    """
    idempotency_key = request.headers.get(IDEMPOTENCY_HEADER)
    if idempotency_key is None:
        return ""
    if (
        not idempotency_key
        or len(idempotency_key) > MAX_KEY_CHARACTERS
        or not (idempotency_key.isascii() and idempotency_key.isprintable())
    ):
        raise RequestRefused(ResultCode.MALFORMED_HEADER, f"{IDEMPOTENCY_HEADER} is not valid")
    return idempotency_key


def body_digest(*parts: bytes) -> str:
    """Return a hexadecimal digest that distinguishes different requests under the same key.

    The length of each part is hashed, as 8 bytes, before its bytes, so that the same bytes divided
    differently have another digest.
    """
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:DIGEST_HEX_DIGITS]


def bill_identity(idempotency_key: str, digest: str, request_id: str) -> str:
    """Return the identity under which a request is billed.

    Repeats of a request under one idempotency key get the same identity and are billed once;
    without a key, it is the identity of the request. The digest, which ``body_digest`` returns, is
    part of it, so that a caller that uses one key for different bodies is billed for each of them.
    """
    return f"{idempotency_key}:{digest}" if idempotency_key else request_id
