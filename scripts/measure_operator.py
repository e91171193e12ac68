"""Measures an operator's list command at three numbers of rows, and the answer's size."""

import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import uvloop
from aiohttp import ClientSession
from measure_control import Processes, admin_url, wait_for_control, wait_in_force, write_settings

ROWS = (10, 100, 1000)
ROWS_PER_CHANGE = 10


async def put_rows(client: ClientSession, settings: dict, rows: range) -> None:
    """Put classes of work."""
    async with client.get(admin_url(settings, "/config")) as answer:
        base = (await answer.json())["operator_revision"]
    row = {"type": "class", "quality": 0.9, "first_token_ms": 800, "total_ms": 5000}
    put = [row | {"name": f"class-{number:04d}"} for number in rows]
    body = {"change_id": f"rows-{rows.start}", "base_revision": base, "put": put}
    async with client.post(admin_url(settings, "/changes"), json=body) as answer:
        assert answer.status == 200, await answer.text()


def run_list(settings: dict) -> str:
    """Run the command once and return its processor time, memory and duration."""
    command = [sys.executable, "-m", "baobabstream.cli.app", "class", "list", "--json"]
    url = admin_url(settings, "").removesuffix("/admin/v1")
    key = settings["operator_keys"]["op"]
    started_s = time.perf_counter()
    with subprocess.Popen(
        [*command, "--control-url", url, "--key", key], stdout=subprocess.DEVNULL
    ) as process:
        _, status, usage = os.wait4(process.pid, 0)
        process.returncode = os.waitstatus_to_exitcode(status)
    assert process.returncode == 0, process.returncode
    return (
        f"{usage.ru_utime + usage.ru_stime:.2f} s of processor time, "
        f"{usage.ru_maxrss / 1000:.1f} MB at most, {time.perf_counter() - started_s:.2f} s"
    )


async def main() -> None:
    """Print the figures at each number of rows."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = write_settings(folder)
        processes = Processes(folder)
        processes.start("control")
        headers = {"Authorization": f"Bearer {settings['operator_keys']['op']}"}
        try:
            async with ClientSession(headers=headers) as client:
                await wait_for_control(client, settings)
                await wait_in_force(client, settings)
                done = 0
                for count in ROWS:
                    for start in range(done, count, ROWS_PER_CHANGE):
                        await put_rows(client, settings, range(start, start + ROWS_PER_CHANGE))
                    done = count
                    async with client.get(admin_url(settings, "/classes")) as answer:
                        size = len(await answer.read())
                    print(f"{count} rows: answer {size} bytes, {run_list(settings)}", flush=True)
        finally:
            processes.stop()


if __name__ == "__main__":
    os.environ.setdefault("PYTHONPATH", str(Path(__file__).resolve().parent.parent / "src"))
    uvloop.run(main())
