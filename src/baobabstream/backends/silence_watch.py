"""Ends a read from a backend server that has gone silent."""

import asyncio

from aiohttp import StreamReader

__all__ = ["SilenceWatch"]


class SilenceWatch:
    """Fails a stream's reader when no bytes came within the limit.

    Parameters
    ----------
    reader
        Reader of the answer's body.
    first_byte_timeout_s, gap_timeout_s
        Limits on the first byte and on the gap between later ones.

    Notes
    -----
    A timer that is moved with each block costs more than the relay of the block. The timer here
    only looks at the time of the last block when it fires, and then sleeps for the remainder.
    """

    def __init__(
        self, reader: StreamReader, first_byte_timeout_s: float, gap_timeout_s: float
    ) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        self._limit_s = first_byte_timeout_s
        self._gap_timeout_s = gap_timeout_s
        self._last_s = self._loop.time()
        self._reading = False
        self._timer = self._loop.call_later(first_byte_timeout_s, self._look)

    def before_read(self) -> None:
        """Start to count; the time that the caller takes is not the backend server's."""
        self._reading = True
        self._last_s = self._loop.time()

    def after_read(self) -> None:
        """Note that bytes came."""
        self._reading = False
        if self._limit_s != self._gap_timeout_s:
            self._limit_s = self._gap_timeout_s
            self._timer.cancel()
            self._timer = self._loop.call_later(self._gap_timeout_s, self._look)

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _look(self) -> None:
        now_s = self._loop.time()
        due_s = (self._last_s if self._reading else now_s) + self._limit_s
        if now_s >= due_s:
            self._reader.set_exception(TimeoutError("the connection is silent"))
        else:
            self._timer = self._loop.call_at(due_s, self._look)
