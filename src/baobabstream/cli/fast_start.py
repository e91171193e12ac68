"""Shortens the time from a process start to its first answer.

While a host restarts, callers find nobody at its address, so each tenth of a second counts.
"""

import gc
import os

__all__ = ["begin_start", "end_start"]


def begin_start() -> None:
    """Prepare for imports; called before aiohttp is loaded.

    aiohttp builds TLS contexts as it is imported, and reading the host's store of certificate
    authorities takes a quarter of the time to start. Only for daemons that make no TLS
    connections as clients.
    """
    gc.disable()
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)


def end_start() -> None:
    """Collect garbage again, without the objects made so far: they live as long as the process."""
    gc.freeze()
    gc.enable()
