"""Exceptions of the project, all below one base class."""

from baobabstream.errors.codes import CODE_TABLE, ResultCode

__all__ = ["BaobabstreamError", "PeerError", "RequestRefused", "SettingsError", "StorageError"]


class BaobabstreamError(Exception):
    """Base of all exceptions that the project raises.

    Parameters
    ----------
    code
        The numbered result code.
    detail
        What happened, in one short sentence.
    retry_after_s
        Seconds after which a retry may succeed, or None.
    """

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        self.code = code
        self.detail = detail or CODE_TABLE[code].summary
        self.retry_after_s = retry_after_s
        super().__init__(f"{int(code)} {code.name}: {self.detail}")


class RequestRefused(BaobabstreamError):
    """A caller's, operator's or backend server's request was refused."""


class PeerError(BaobabstreamError):
    """A call to another daemon failed.

    Attributes
    ----------
    leader
        Host name of the control leader, if the peer named it.
    """

    leader: str = ""


class StorageError(BaobabstreamError):
    """A file could not be read, written or synced."""


class SettingsError(BaobabstreamError):
    """A settings file is not valid."""
