"""Parser of HTTP/1.1 answers that rejects those whose head is not valid.

``httptools`` decides what names, values, lengths and chunks may look like. It also accepts
statuses, versions and codings that HTTP/1.1 does not have; these are checked here.
"""

from collections.abc import Callable

from httptools import HttpParserCallbackError, HttpParserError, HttpResponseParser

from baobabstream.backends.answer_head import (
    TEXT_ENCODING,
    AnswerHead,
    InvalidHead,
    check_reason,
    check_status,
    check_transfer_coding,
    check_version,
)

__all__ = ["AnswerParser", "InvalidAnswer"]

# Limit on the names and values of the headers of one answer.
MAX_HEAD_BYTES = 64 * 1024
# Limit on their number: a short header takes many times its bytes in memory.
MAX_HEADERS = 256
# Limit on the received bytes that are no body of the expected answer: its head and trailers, the
# framing of chunks beyond the allowance for each part of the body, and skipped answers. A faulty
# server may send such bytes until the connection is closed.
MAX_OVERHEAD_BYTES = 256 * 1024
# Framing that each part of a body may have; a chunk usually has less than 10 bytes of it.
FRAMING_ALLOWANCE_BYTES = 64
# Statuses of interim answers, which precede the answer proper.
INFORMATIONAL_STATUSES = range(100, 200)
# Limit on their number for one request.
MAX_INTERIM_ANSWERS = 32
# First byte of each answer, after the empty lines that a server may send before it. The parser
# accepts other protocols with the same layout.
_FIRST_BYTE = b"H"


class InvalidAnswer(Exception):
    """Raised when received bytes are no valid answer; the text says why."""


class AnswerParser:
    """Parses the answers on one connection.

    Parameters
    ----------
    on_begin
        Called at the first byte of each answer.
    on_head
        Called with status and headers of each answer but interim ones; returns whether it is the
        expected one. Any other one is skipped.
    on_body
        Called with each part of the body of the expected answer.
    on_complete
        Called at the end of the expected answer.

    Attributes
    ----------
    body_ends_at_close
        Whether only the end of the connection ends the body of the present answer.
    """

    def __init__(
        self,
        on_begin: Callable[[], None],
        on_head: Callable[[AnswerHead], bool],
        on_body: Callable[[bytes], None],
        on_complete: Callable[[], None],
    ) -> None:
        # Size of the head of the present answer so far.
        self._head_bytes = 0
        # Bytes received since the request that are no body of its answer.
        self._overhead_bytes = 0
        # Number of interim answers since the request.
        self._interim_answers = 0
        # Whether the present answer is the expected one.
        self._is_expected = False
        # Whether the expected answer may have a body.
        self._may_have_body = True
        self.body_ends_at_close = False
        self._headers: list[tuple[str, str]] = []
        self._reason = b""
        # Whether the next byte is the first one of an answer.
        self._is_between_answers = True
        self._on_begin = on_begin
        self._on_head = on_head
        self._on_body = on_body
        self._on_complete = on_complete
        # Takes the callbacks from the attributes of this object, so it comes last.
        self._parser = HttpResponseParser(self)

    @property
    def keeps_alive(self) -> bool:
        """Whether another answer may follow the present one on the connection.

        After an answer that ends with its head, ``httptools`` would take it for the body that the
        head announces.
        """
        return self._may_have_body and self._parser.should_keep_alive()

    def expect_answer(self, may_have_body: bool = True) -> None:
        """Expect the answer to another request; the rest of the one before is skipped.

        ``may_have_body`` is False for HEAD, whose answer ends with its head whatever that says.
        """
        self._may_have_body = may_have_body
        self._overhead_bytes = 0
        self._interim_answers = 0
        self._is_expected = False

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        InvalidAnswer
            If they are no valid answer, or too many are no part of the expected one; the parser
            must not be used any more.
        """
        self._overhead_bytes += len(data)
        if self._is_between_answers and data.lstrip(b"\r\n")[:1] not in (_FIRST_BYTE, b""):
            raise InvalidAnswer("the bytes are not HTTP")
        try:
            self._parser.feed_data(data)
        except HttpParserCallbackError as error:
            # A callback has raised an exception, after which the parser reads no further.
            if not isinstance(error.__context__, InvalidHead):
                raise
            raise InvalidAnswer(str(error.__context__)) from error
        except HttpParserError as error:
            raise InvalidAnswer(str(error)) from error
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            raise InvalidAnswer("too many bytes that are no part of the answer")

    # Callbacks of HttpResponseParser

    def on_message_begin(self) -> None:
        """Reset the state of the head for a new answer."""
        self._is_between_answers = False
        self._headers = []
        self._reason = b""
        self._head_bytes = 0
        self._on_begin()

    def on_status(self, reason: bytes) -> None:
        """Store a part of the reason phrase; it counts for the size of the head."""
        self._add_head_bytes(len(reason))
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or trailer."""
        self._add_head_bytes(len(name) + len(value))
        if len(self._headers) == MAX_HEADERS:
            raise InvalidHead("the answer has too many headers")
        # Blanks around a value are no part of it; the parser leaves those at the end.
        self._headers.append((name.decode("ascii"), value.rstrip(b" \t").decode(*TEXT_ENCODING)))

    def on_headers_complete(self) -> None:
        """Check the head and pass it on.

        Raises
        ------
        InvalidHead
            If it is not valid.
        """
        version = self._parser.get_http_version()
        head = AnswerHead(self._parser.get_status_code(), tuple(self._headers))
        check_version(version)
        check_status(head.status)
        check_reason(self._reason)
        check_transfer_coding(head, version)
        if head.status in INFORMATIONAL_STATUSES:
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                raise InvalidHead("too many interim answers")
            self._is_expected = False
            return
        self.body_ends_at_close = self._may_have_body and head.body_ends_at_close
        self._is_expected = self._on_head(head)
        if not self._may_have_body:
            self._complete_expected()

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body of the expected answer on."""
        if self._is_expected:
            self._overhead_bytes = max(
                0, self._overhead_bytes - len(data) - FRAMING_ALLOWANCE_BYTES
            )
            self._on_body(data)

    def on_message_complete(self) -> None:
        """Report the end of the expected answer."""
        self._is_between_answers = True
        self._complete_expected()

    def _complete_expected(self) -> None:
        """Report the end of the present answer if it is the expected one."""
        if self._is_expected:
            self._is_expected = False
            self._on_complete()

    def _add_head_bytes(self, byte_count: int) -> None:
        """Count bytes of the head; raises InvalidHead if it becomes too large."""
        self._head_bytes += byte_count
        if self._head_bytes > MAX_HEAD_BYTES:
            raise InvalidHead("the head of the answer is too large")
