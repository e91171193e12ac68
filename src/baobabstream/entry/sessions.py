"""Signed session tokens that pin a conversation to a model version.

A session is a conversation of several requests. A pinned session is answered by the same model
version in every request; its pin is that model version together with the client account. The caller
gets the pin as a signed token and sends it with each request, so no entry host stores sessions.
"""

from dataclasses import dataclass

from itsdangerous import BadData, URLSafeSerializer

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["SessionPin", "SessionTokens"]


@dataclass(frozen=True, slots=True)
class SessionPin:
    """Model and version that a session of a client account is pinned to."""

    client_account: str
    model: str
    version: str


class SessionTokens:
    """Signs and verifies session tokens.

    Parameters
    ----------
    session_secret
        Secret shared by all entry hosts, since any of them may get the next request.
    """

    def __init__(self, session_secret: str) -> None:
        # The salt separates these signatures from others that are made with the same secret.
        self._serializer = URLSafeSerializer(session_secret, salt="session")

    def issue(self, pin: SessionPin) -> str:
        """Return the signed token of a pin."""
        return self._serializer.dumps([pin.client_account, pin.model, pin.version])

    def read(self, token: str, client_account: str) -> SessionPin:
        """Return the pin of a token that ``client_account`` sent, after verifying it.

        Raises
        ------
        RequestRefused
            ``SESSION_INVALID`` if the token is forged or damaged, ``SESSION_FOREIGN`` if it belongs
            to another account.
        """
        try:
            token_account, model, version = self._serializer.loads(token)
        except (BadData, ValueError, TypeError) as error:
            raise RequestRefused(ResultCode.SESSION_INVALID) from error
        if token_account != client_account:
            raise RequestRefused(ResultCode.SESSION_FOREIGN)
        return SessionPin(token_account, model, version)
