"""Timeout for the tokens of a streamed answer.

The gap timeout is the limit on each wait for a token after the first one. All times are times of
the event loop in seconds.
"""

import asyncio

from aiohttp import StreamReader

__all__ = ["ReadWatchdog"]


class ReadWatchdog:
    """Makes a read of a stream fail if the backend server makes no progress in time.

    The pending read raises TimeoutError. Call ``start_waiting`` before the first read,
    ``stop_waiting`` and ``start_waiting`` around the delivery of each token, and ``close`` at the
    end.

    Parameters
    ----------
    reader
        Reader of the body of an answer.
    first_token_timeout_s
        Limit in seconds on the wait for the first token.
    gap_timeout_s
        Limit in seconds on each later wait.

    Notes
    -----
    Rescheduling a timer for each token costs more than relaying it. This timer therefore compares
    the start of the current wait with the clock only when it fires, and then sleeps for the
    remaining time.
    """

    def __init__(
        self, reader: StreamReader, first_token_timeout_s: float, gap_timeout_s: float
    ) -> None:
        self._reader = reader
        self._loop = asyncio.get_running_loop()
        # Limit that applies to the current wait.
        self._timeout_s = first_token_timeout_s
        self._gap_timeout_s = gap_timeout_s
        self._wait_started_s = self._loop.time()
        self._is_waiting = False
        self._timer = self._loop.call_later(first_token_timeout_s, self._check_timeout)

    def start_waiting(self) -> None:
        """Start the timeout of a wait; the time between two waits does not count."""
        self._is_waiting = True
        self._wait_started_s = self._loop.time()

    def stop_waiting(self) -> None:
        """Stop the timeout of a wait; after the first one, switch to the gap timeout."""
        self._is_waiting = False
        if self._timeout_s != self._gap_timeout_s:
            self._timeout_s = self._gap_timeout_s
            self._timer.cancel()
            self._timer = self._loop.call_later(self._gap_timeout_s, self._check_timeout)

    def close(self) -> None:
        """Cancel the timer."""
        self._timer.cancel()

    def _check_timeout(self) -> None:
        """Fail the reader if the current wait has timed out, else reschedule the check.

        Outside a wait, the check is due a full timeout from now.
        """
        now_s = self._loop.time()
        expires_s = (self._wait_started_s if self._is_waiting else now_s) + self._timeout_s
        if now_s >= expires_s:
            self._reader.set_exception(TimeoutError("the stream makes no progress"))
        else:
            self._timer = self._loop.call_at(expires_s, self._check_timeout)
