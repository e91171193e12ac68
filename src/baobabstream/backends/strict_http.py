"""Connections of aiohttp's client that accept only valid and whole answers, of limited size.

The client's parser is lenient: it joins lines that begin with a blank to the one before, passes
control bytes on, and takes a body without a length for whole however its connection ends.
"""

import asyncio
import json
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from typing import Any

from aiohttp import (
    ClientError,
    ClientPayloadError,
    ClientResponse,
    ClientResponseError,
    TCPConnector,
)
from aiohttp.client_proto import ResponseHandler

from baobabstream.backends.answer_head import AnswerHead
from baobabstream.backends.answer_parser import AnswerParser, InvalidAnswer
from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.delivery import DeliveryWait, count_undelivered_bytes
from baobabstream.backends.response_memory import NO_MEMORY_REASON
from baobabstream.policy.events import FailureKind
from baobabstream.resources.memory_budget import MemoryBudget

__all__ = ["StrictConnector", "answer_failure", "discard_answer", "read_body", "read_json"]

JSON_CONTENT_TYPE = "application/json"


class BodyRejected(ClientPayloadError):
    """Raised when the body of an answer is not valid, or over the limit on its size."""


class StrictConnector(TCPConnector):
    """Opens connections that check each answer; the parameters are those of `TCPConnector`."""

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp has no public way to choose the protocol of its connections.
        self._factory = partial(_StrictResponseHandler, loop=self._loop)  # type: ignore[assignment]


def answer_failure(error: ClientError | OSError) -> AttemptError:
    """Return the failure of an attempt whose answer was rejected, or whose connection was lost."""
    if isinstance(error, ClientResponseError | BodyRejected):
        return AttemptError(FailureKind.ERROR, "the answer is not valid")
    return AttemptError(FailureKind.LOST, connection_lost=True)


def discard_answer(response: ClientResponse) -> None:
    """Close the connection of an answer, and drop the bytes of it that nobody has read."""
    _drop_unread_bytes(response)
    response.close()


def _drop_unread_bytes(response: ClientResponse) -> None:
    """Free the bytes of an answer that nobody has read."""
    # Raised if the answer has failed, or a read waits, for which there are no such bytes.
    with suppress(ClientError, OSError, RuntimeError):
        response.content.read_nowait()


async def read_body(
    response: ClientResponse, max_bytes: int, memory: MemoryBudget | None = None
) -> bytes:
    """Return the whole body of an answer.

    Parameters
    ----------
    response
        The answer.
    max_bytes
        Limit on the size of the body.
    memory
        Memory that the body shares with others while it is read, or None.

    Raises
    ------
    BodyRejected
        If the body is not valid, is over the limit, or finds no memory; the connection is closed.
    ClientError
        If it breaks off.
    """

    def give_up(reason: str) -> None:
        """Fail the body and close its connection."""
        _drop_unread_bytes(response)
        response.content.set_exception(BodyRejected(reason))
        response.close()

    answer_memory = (memory or MemoryBudget(max_bytes)).open(partial(give_up, NO_MEMORY_REASON))
    parts: list[bytes] = []
    try:
        async for part in response.content.iter_any():
            if answer_memory.held_bytes + len(part) > max_bytes:
                give_up(f"the answer has more than {max_bytes} bytes")
            elif answer_memory.try_acquire(len(part)):
                parts.append(part)
            else:
                give_up(NO_MEMORY_REASON)
        return b"".join(parts)
    except RuntimeError as error:
        # Raised by aiohttp if the connection has been closed before a read begins.
        parts.clear()
        raise ClientPayloadError(str(error)) from error
    except BaseException:
        # The error refers to this frame and to the answer, which refers to the error. Until the
        # garbage collector finds that, neither is freed.
        parts.clear()
        raise
    finally:
        answer_memory.close()


async def read_json(response: ClientResponse, max_bytes: int) -> Any:
    """Return the decoded JSON document in the body of an answer.

    Raises
    ------
    BodyRejected
        If it is no JSON document, or has more than ``max_bytes``.
    ClientError
        If it breaks off.
    """
    body = await read_body(response, max_bytes)
    if response.content_type != JSON_CONTENT_TYPE:
        raise BodyRejected(f"content type {response.content_type}")
    try:
        return json.loads(body)
    except (ValueError, RecursionError) as error:
        raise BodyRejected(f"no JSON: {error}") from error


class _CheckedParser:
    """Parser of one answer that checks the bytes before aiohttp's own parser gets them.

    Parameters
    ----------
    parser
        The parser of aiohttp.
    may_have_body
        Whether the answer may have a body, as one to HEAD has none.
    on_invalid
        Called with the error if bytes are not valid.
    """

    def __init__(
        self, parser: Any, may_have_body: bool, on_invalid: Callable[[InvalidAnswer], None]
    ) -> None:
        self._parser = parser
        self._on_invalid = on_invalid
        self._is_complete = False
        self._checker = AnswerParser(_do_nothing, _accept_head, _ignore_body, self._complete)
        self._checker.expect_answer(may_have_body)

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of aiohttp's parser."""
        return getattr(self._parser, name)

    @property
    def body_ends_at_close(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self._checker.body_ends_at_close

    def feed_data(self, data: bytes) -> Any:
        """Check and parse received bytes.

        Raises
        ------
        InvalidAnswer
            If they are no valid answer. What follows the whole answer is left to aiohttp.
        """
        if data and not self._is_complete:
            try:
                self._checker.feed(data)
            except InvalidAnswer as error:
                if not self._is_complete:
                    self._on_invalid(error)
                    raise
        return self._parser.feed_data(data)

    def _complete(self) -> None:
        """Record that the whole answer has arrived."""
        self._is_complete = True


class _StrictResponseHandler(ResponseHandler):
    """Connection that checks each answer, and how its body ends."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        self._delivery_wait: DeliveryWait | None = None
        # Why the server's end of the connection is not that of a body, if it is known.
        self._end_error: ConnectionError | None = None

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the next answer; see aiohttp."""
        early_bytes, self._tail = self._tail, b""
        super().set_response_params(**options)
        may_have_body = not options["skip_payload"]
        self._parser = _CheckedParser(  # type: ignore[assignment]
            self._parser, may_have_body, self._reject_body
        )
        self._tail = early_bytes
        self._drain_tail()

    def eof_received(self) -> bool | None:  # type: ignore[override]
        """Keep the connection open while it is open whether the server reads the request.

        If this would be the end of a body and a part of the request is still on its way, the
        connection stays open until that has arrived, or the server's host has reset it.
        """
        super().eof_received()
        transport = self.transport
        if transport is None or not self._awaits_end() or not count_undelivered_bytes(transport):
            return None
        if transport.get_extra_info("ssl_object") is not None:
            # A TLS connection can't be kept open in one direction.
            self._end_error = ConnectionResetError("the server has not read the whole request")
            return None
        self._delivery_wait = DeliveryWait(transport, transport.close)
        return True

    def connection_lost(self, error: BaseException | None) -> None:
        """Fail a body that was not ended in order, which aiohttp would take for whole."""
        error = self._end_error or error
        if self._delivery_wait is not None:
            error = self._delivery_wait.end() or error
        if error is not None and self._awaits_end():
            assert self._payload is not None
            self._payload.set_exception(ClientPayloadError(f"the connection ended: {error}"))
        super().connection_lost(error)

    def _reject_body(self, error: InvalidAnswer) -> None:
        """Fail the present body, if there is one; aiohttp closes the connection."""
        if self._payload is not None:
            self._payload.set_exception(BodyRejected(str(error)))
            # Else aiohttp would replace the error as the connection closes.
            self._payload = None

    def _awaits_end(self) -> bool:
        """Return whether the end of the connection would be that of the present body."""
        return (
            self._payload is not None
            and not self._payload.is_eof()
            and isinstance(self._parser, _CheckedParser)
            and self._parser.body_ends_at_close
        )


def _do_nothing() -> None:
    """Ignore the begin of an answer."""


def _accept_head(head: AnswerHead) -> bool:
    """Return True, as each answer on a connection is the expected one."""
    return True


def _ignore_body(data: bytes) -> None:
    """Ignore a part of a body, which aiohttp buffers."""
