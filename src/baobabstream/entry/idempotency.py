"""The caller's idempotency key and the identities derived from it."""

import hashlib

from aiohttp import web

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["bill_identity", "body_digest", "read_key"]

HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 256
DIGEST_LENGTH = 32


def read_key(request: web.Request) -> str:
    """Return the caller's idempotency key, or an empty string.

    Raises
    ------
    RequestRefused
        ``MALFORMED_HEADER`` if the key is empty, too long or not printable ASCII.
    """
    key = request.headers.get(HEADER)
    if key is None:
        return ""
    if not key or len(key) > MAX_KEY_LENGTH or not (key.isascii() and key.isprintable()):
        raise RequestRefused(ResultCode.MALFORMED_HEADER, f"{HEADER} is not valid")
    return key


def body_digest(*parts: bytes) -> str:
    """Return a digest that tells different requests under the same key apart."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(8, "big") + part)
    return digest.hexdigest()[:DIGEST_LENGTH]


def bill_identity(key: str, digest: str, request_id: str) -> str:
    """Return the identity under which a request is billed.

    The digest is part of it, so that a caller that uses one key for different bodies is billed
    for each of them.
    """
    return f"{key}:{digest}" if key else request_id
