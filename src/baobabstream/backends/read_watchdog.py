"""Timeout for reads of a streamed answer.

The gap timeout is the limit on each read after the first one. All times are times of the event loop
in seconds.
"""

import asyncio

from aiohttp import StreamReader

__all__ = ["ReadWatchdog"]


class ReadWatchdog:
    """Makes a read of a stream fail if the backend server sends no bytes in time.

    The pending read raises TimeoutError. Call ``before_read`` and ``after_read`` around each read,
    and ``close`` at the end.

    Parameters
    ----------
    reader
        Reader of the body of an answer.
    first_byte_timeout_s
        Limit in seconds on the first read.
    gap_timeout_s
        Limit in seconds on each later read.

    Notes
    -----
    Rescheduling a timer for each read costs more than relaying the bytes that it returns. This
    timer therefore compares the start of the current read with the clock only when it fires, and
    then sleeps for the remaining time.
    """

    def __init__(
        self, reader: StreamReader, first_byte_timeout_s: float, gap_timeout_s: float
    ) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        # Limit that applies to the current read.
        self._timeout_s = first_byte_timeout_s
        self._gap_timeout_s = gap_timeout_s
        self._read_started_s = self._loop.time()
        self._is_reading = False
        self._timer = self._loop.call_later(first_byte_timeout_s, self._check_timeout)

    def before_read(self) -> None:
        """Start the timeout of a read; the time between two reads does not count."""
        self._is_reading = True
        self._read_started_s = self._loop.time()

    def after_read(self) -> None:
        """Stop the timeout of a read; after the first read, switch to the gap timeout."""
        self._is_reading = False
        if self._timeout_s != self._gap_timeout_s:
            self._timeout_s = self._gap_timeout_s
            self._timer.cancel()
            self._timer = self._loop.call_later(self._gap_timeout_s, self._check_timeout)

    def close(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()

    def _check_timeout(self) -> None:
        """Fail the reader if the current read has timed out, else reschedule the check.

        Without a pending read, the check is due a full timeout from now.
        """
        now_s = self._loop.time()
        expires_s = (self._read_started_s if self._is_reading else now_s) + self._timeout_s
        if now_s >= expires_s:
            self._reader.set_exception(TimeoutError("the connection is silent"))
        else:
            self._timer = self._loop.call_at(expires_s, self._check_timeout)
