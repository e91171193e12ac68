"""Status and headers of a server's answer, and the checks that they are valid HTTP/1.1.

A parser accepts more than HTTP allows. What it lets pass would be written to a caller as it is.
"""

import re
from dataclasses import dataclass

__all__ = [
    "TEXT_ENCODING",
    "AnswerHead",
    "InvalidHead",
    "check_reason",
    "check_status",
    "check_transfer_coding",
    "check_version",
]

# Statuses that HTTP defines a class for (RFC 9110, section 15).
VALID_STATUSES = range(100, 600)
# Status of an answer that switches to another protocol, which no request here asks for.
SWITCHING_PROTOCOLS_STATUS = 101
# Versions whose answers have this format (RFC 9112, section 2.3), and the one with chunks.
VERSIONS = frozenset({"1.0", "1.1"})
CHUNKED_VERSION = "1.1"
# Bytes that a reason phrase must not contain: all control bytes but the tab (section 4).
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Statuses (No Content, Not Modified) of answers that have no body even if no length is given.
STATUSES_WITHOUT_BODY = frozenset({204, 304})
# Encoding of header values, and what is done with bytes that are not in it.
TEXT_ENCODING = ("utf-8", "surrogateescape")


class InvalidHead(Exception):
    """Raised when the head of an answer is not valid; the text says what is wrong with it."""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer.

    Header names keep their case. Values are decoded as UTF-8; other bytes become surrogates, as in
    the headers of callers' requests.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of the header ``name`` in any case, or None."""
        lower_name = name.lower()
        return next((value for key, value in self.headers if key.lower() == lower_name), None)

    @property
    def body_ends_at_close(self) -> bool:
        """Whether only the end of the connection marks the end of the body, if there may be one."""
        return (
            self.status not in STATUSES_WITHOUT_BODY
            and self.get("Content-Length") is None
            and self.get("Transfer-Encoding") is None
        )

    def printable_headers(self) -> list[tuple[str, str]]:
        """Return the headers without surrogates, which no response can contain.

        A value that is not UTF-8 is taken for Latin-1, the former encoding of headers.
        """
        return [
            (name, value if value.isascii() else _without_surrogates(value))
            for name, value in self.headers
        ]

    def get_all(self, name: str) -> list[str]:
        """Return all values of the header ``name`` in any case, in order."""
        lower_name = name.lower()
        return [value for key, value in self.headers if key.lower() == lower_name]


def check_version(version: str) -> None:
    """Raise InvalidHead unless a version, such as ``1.1``, has this format of answers."""
    if version not in VERSIONS:
        raise InvalidHead(f"version {version}")


def check_status(status: int) -> None:
    """Raise InvalidHead unless a status belongs to a class that HTTP defines."""
    if status not in VALID_STATUSES or status == SWITCHING_PROTOCOLS_STATUS:
        raise InvalidHead(f"status {status:03}")


def check_reason(reason: bytes) -> None:
    """Raise InvalidHead if a reason phrase contains a control byte."""
    if _CONTROL_BYTE.search(reason):
        raise InvalidHead("control byte in the reason phrase")


def check_transfer_coding(head: AnswerHead, version: str) -> None:
    """Raise InvalidHead if a body has another transfer coding than chunks, or chunks twice.

    Such a body would be passed on as it was transferred (RFC 9112, section 6.1).
    """
    codings = head.get_all("Transfer-Encoding")
    if codings and (version != CHUNKED_VERSION or [c.lower() for c in codings] != ["chunked"]):
        raise InvalidHead(f"transfer coding {', '.join(codings)} in HTTP/{version}")


def _without_surrogates(value: str) -> str:
    """Return a header value, decoded as Latin-1 if it is not UTF-8."""
    value_bytes = value.encode(*TEXT_ENCODING)
    try:
        return value_bytes.decode(TEXT_ENCODING[0])
    except UnicodeDecodeError:
        return value_bytes.decode("latin-1")
