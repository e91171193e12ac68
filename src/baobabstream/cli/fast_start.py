"""Shortens the time from the start of a daemon process until it can serve requests.

While a daemon restarts, callers cannot connect to its host, so each tenth of a second matters.
"""

import gc
import os
import signal

__all__ = ["prepare_fast_start", "finish_fast_start", "consume_pending_reload"]

# Numbers of the reload signals (SIGHUP) received since `prepare_fast_start`.
_pending_reload_signals: list[int] = []


def prepare_fast_start() -> None:
    """Prepare the process for the imports; must be called before aiohttp is imported.

    aiohttp creates TLS contexts when it is imported, and reading the host's store of certificate
    authorities takes a quarter of the start time. The store is therefore replaced by an empty file,
    unless ``SSL_CERT_FILE`` is set; only daemons that make no TLS connections as clients may call
    this function. Garbage collection is switched off until `finish_fast_start`. A SIGHUP, which
    asks for a reload of the settings, would end the process before its handler is installed; it is
    recorded instead.
    """
    signal.signal(
        signal.SIGHUP, lambda signal_number, _: _pending_reload_signals.append(signal_number)
    )
    gc.disable()
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


def finish_fast_start() -> None:
    """Resume garbage collection.

    Objects created so far are excluded from it, because they live as long as the process.
    """
    gc.freeze()
    gc.enable()


def consume_pending_reload() -> bool:
    """Return whether a reload was requested during the start, and clear the request."""
    was_requested = bool(_pending_reload_signals)
    _pending_reload_signals.clear()
    return was_requested
