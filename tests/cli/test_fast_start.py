"""A daemon's start: no work that callers would wait for, and normal memory management after it."""

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
def collector():
    before = signal.getsignal(signal.SIGHUP)
    yield
    gc.unfreeze()
    gc.enable()
    signal.signal(signal.SIGHUP, before)


def test_garbage_is_collected_again_once_a_daemon_runs(collector, monkeypatch) -> None:
    """Guards against a daemon that never collects garbage after its quick start."""
    monkeypatch.setenv("SSL_CERT_FILE", "kept")
    seen = []

    class Daemon:
        async def start(self) -> None:
            seen.append(gc.isenabled())
            os.kill(os.getpid(), 15)

        async def stop(self) -> None:
            seen.append(gc.isenabled())

    prepare_fast_start()
    run_until_stopped(Daemon, asyncio.run)
    assert seen == [False, True]
    assert os.environ["SSL_CERT_FILE"] == "kept"


def test_no_certificate_authorities_are_read_at_the_start() -> None:
    """Guards against a restart that reads the certificate store while callers wait."""
    code = (
        "from baobabstream.cli.fast_start import prepare_fast_start; prepare_fast_start();"
        "from aiohttp import connector;"
        "print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()['x509_ca'])"
    )
    environment = {name: value for name, value in os.environ.items() if name != "SSL_CERT_FILE"}
    answer = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, text=True, check=True
    )
    assert answer.stdout.strip() == "0"


def test_collecting_resumes_after_the_start(collector) -> None:
    """Guards against objects of the start being walked at every collection."""
    gc.disable()
    finish_fast_start()
    assert gc.isenabled()
    assert gc.get_freeze_count() > 0


def test_reload_that_is_asked_for_during_the_start_is_kept(collector, monkeypatch) -> None:
    """Guards against a signal to reload that ends a process which still starts (soak, seed 1)."""
    monkeypatch.setenv("SSL_CERT_FILE", "kept")
    reloaded = []

    class Daemon:
        async def start(self) -> None:
            os.kill(os.getpid(), signal.SIGTERM)

        async def stop(self) -> None:
            pass

    prepare_fast_start()
    os.kill(os.getpid(), signal.SIGHUP)
    run_until_stopped(Daemon, asyncio.run, reloaded.append)
    assert len(reloaded) == 1
