"""Exceptions of this package; all derive from ``BaobabstreamError``."""

from baobabstream.errors.codes import CODE_TABLE, ResultCode

__all__ = ["BaobabstreamError", "PeerError", "RequestRefused", "SettingsError", "StorageError"]


class BaobabstreamError(Exception):
    """Base class of all exceptions of this package.

    Parameters
    ----------
    code
        Numbered result code.
    detail
        What happened, in one short sentence; by default the summary of the code.
    retry_after_s
        Time in seconds after which a retry may succeed, or None if it is not known.
    """

    def __init__(
        self, code: ResultCode, detail: str = "", retry_after_s: float | None = None
    ) -> None:
        self.code = code
        self.detail = detail or CODE_TABLE[code].summary
        self.retry_after_s = retry_after_s
        super().__init__(f"{int(code)} {code.name}: {self.detail}")


class RequestRefused(BaobabstreamError):
    """A request of a caller, operator or backend server was refused."""


class PeerError(BaobabstreamError):
    """A call to another daemon failed, or a frame of another daemon was refused.

    Attributes
    ----------
    leader
        Host name of the elected leader of the hosts that replicate the configuration, to which the
        call may be sent instead. Set for calls that only the leader can serve; otherwise, and if
        the leader is not known, it is empty.
    """

    leader: str = ""


class StorageError(BaobabstreamError):
    """A file could not be read, written or synced."""


class SettingsError(BaobabstreamError):
    """A settings file is not valid."""
