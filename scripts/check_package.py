"""Checks that the shipped file runs both daemons, each as one process that stops by itself."""

import os
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import psutil
from demo_settings import main as write_settings

START_TIMEOUT_S = 60.0


def environment(folder: Path) -> dict[str, str]:
    """Return an environment without the source tree."""
    kept = {key: value for key, value in os.environ.items() if key != "PYTHONPATH"}
    return kept | {"SHIV_ROOT": str(folder / "unpacked"), "PYTHONNOUSERSITE": "1"}


def wait_for(url: str, process: subprocess.Popen[bytes]) -> None:
    """Wait until a health check answers."""
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s and process.poll() is None:
        try:
            with urllib.request.urlopen(url, timeout=1):
                return
        except (urllib.error.URLError, ConnectionError):
            time.sleep(0.1)
    raise SystemExit(f"{url} did not answer; exit code {process.poll()}")


def check(program: Path, role: str, settings: Path, url: str, folder: Path) -> None:
    """Run one daemon from the file and look for child processes."""
    command = [sys.executable, str(program), role, "--settings", str(settings)]
    process = subprocess.Popen(command, env=environment(folder), stderr=subprocess.DEVNULL)
    try:
        wait_for(url, process)
        shown = psutil.Process(process.pid)
        children = shown.children(recursive=True)
        if children:
            raise SystemExit(f"{role}: child processes {children}")
        rss_mb = shown.memory_info().rss / 1e6
        print(f"{role}: one process, {shown.num_threads()} threads, {rss_mb:.0f} MB resident")
    finally:
        process.terminate()
        code = process.wait(timeout=30)
    if code != 0:
        raise SystemExit(f"{role}: exit code {code} after SIGTERM")


def main(program: Path) -> None:
    """Check both daemons."""
    print(f"{program}: {program.stat().st_size / 1e6:.1f} MB")
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_settings(folder)
        text = (folder / "environment").read_text(encoding="utf-8")
        base = int(text.split("BASE_PORT=")[1].split()[0])
        for role, host, port in (("control", "control-1", 11), ("entry", "entry-1", 21)):
            url = f"http://127.0.0.1:{base + port}/healthz"
            check(program, role, folder / f"{host}.toml", url, folder)


if __name__ == "__main__":
    main(Path(sys.argv[1]))
