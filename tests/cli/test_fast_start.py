"""Tests the fast start of a daemon.

The certificate store is not read and garbage is not collected until the daemon has started; after
that garbage is collected as usual. A reload signal during the start is not lost.
"""

import asyncio
import gc
import os
import signal
import subprocess
import sys

import pytest

from baobabstream.cli.fast_start import finish_fast_start, prepare_fast_start
from baobabstream.cli.run_daemon import run_until_stopped


@pytest.fixture
def restored_process_state():
    """Restore garbage collection and the SIGHUP handler after the test."""
    previous_handler = signal.getsignal(signal.SIGHUP)
    yield
    gc.unfreeze()
    gc.enable()
    signal.signal(signal.SIGHUP, previous_handler)


def test_garbage_is_collected_again_once_a_daemon_runs(restored_process_state, monkeypatch) -> None:
    """Guards against a daemon that never collects garbage after its fast start."""
    monkeypatch.setenv("SSL_CERT_FILE", "kept")
    gc_is_enabled = []

    class Daemon:
        """Daemon that stops as soon as it has started."""

        async def start(self) -> None:
            gc_is_enabled.append(gc.isenabled())
            # SIGTERM, which stops the daemon.
            os.kill(os.getpid(), 15)

        async def stop(self) -> None:
            gc_is_enabled.append(gc.isenabled())

    prepare_fast_start()
    run_until_stopped(Daemon, asyncio.run)
    assert gc_is_enabled == [False, True]
    assert os.environ["SSL_CERT_FILE"] == "kept"


def test_no_certificate_authorities_are_read_at_the_start() -> None:
    """Guards against a restart that reads the certificate store while callers wait."""
    code = (
        "from baobabstream.cli.fast_start import prepare_fast_start; prepare_fast_start();"
        "from aiohttp import connector;"
        "print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509_ca'])"
    )
    environment = {name: value for name, value in os.environ.items() if name != "SSL_CERT_FILE"}
    result = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "0"


def test_garbage_collection_resumes_after_the_start(restored_process_state) -> None:
    """Guards against collections that traverse all objects created during the start."""
    gc.disable()
    finish_fast_start()
    assert gc.isenabled()
    assert gc.get_freeze_count() > 0


def test_reload_requested_during_the_start_is_executed(restored_process_state, monkeypatch) -> None:
    """Guards against a reload signal that ends a process during its start.

    The soak test with seed 1 sent SIGHUP before the handler was installed.
    """
    monkeypatch.setenv("SSL_CERT_FILE", "kept")
    reloaded = []

    class Daemon:
        """Daemon that stops as soon as it has started."""

        async def start(self) -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        async def stop(self) -> None:
            pass

    prepare_fast_start()
    os.kill(os.getpid(), signal.SIGHUP)
    run_until_stopped(Daemon, asyncio.run, reloaded.append)
    assert len(reloaded) == 1
