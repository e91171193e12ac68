"""Measures resident memory and threads of an idle entry and control daemon."""

import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil
from check_package import wait_for
from demo_settings import main as write_settings

SETTLE_S = 3.0
BUSY_S = 5.0

# Runs a daemon with nng's own thread counts, for comparison.
UNLIMITED = """
import sys
from pathlib import Path
import baobabstream.cli.app
from baobabstream.cli import daemons
from baobabstream.wire import threads
threads.limit_nng_threads = lambda: None
getattr(daemons, sys.argv[1])(Path(sys.argv[2]))
"""


def start(role: str, settings: Path, limited: bool) -> subprocess.Popen[bytes]:
    """Start a daemon."""
    if limited:
        arguments = ["-m", "baobabstream.cli.app", role, "--settings", str(settings)]
    else:
        arguments = ["-c", UNLIMITED, role, str(settings)]
    return subprocess.Popen([sys.executable, *arguments], stderr=subprocess.DEVNULL)


def measure(limited: bool) -> None:
    """Start both daemons, let them settle and print what they use."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_settings(folder)
        text = (folder / "environment").read_text(encoding="utf-8")
        base = int(text.split("BASE_PORT=")[1].split()[0])
        daemons = {}
        try:
            for role, host, port in (("control", "control-1", 11), ("entry", "entry-1", 21)):
                daemons[role] = start(role, folder / f"{host}.toml", limited)
                wait_for(f"http://127.0.0.1:{base + port}/healthz", daemons[role])
            time.sleep(SETTLE_S)
            for role, process in daemons.items():
                shown = psutil.Process(process.pid)
                shown.cpu_percent()
                time.sleep(BUSY_S)
                print(
                    f"{'limited' if limited else 'nng default'} {role}:"
                    f" {shown.memory_info().rss / 1e6:.1f} MB resident,"
                    f" {shown.num_threads()} threads, {shown.cpu_percent():.1f}% of a core"
                )
        finally:
            for process in daemons.values():
                process.terminate()
            for process in daemons.values():
                process.wait(timeout=30)


if __name__ == "__main__":
    for choice in (False, True):
        measure(choice)
