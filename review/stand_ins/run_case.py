"""Runs a case in a temporary folder, and ends everything that it started."""

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.deployment import Record

__all__ = ["CannotRun", "run_case", "trouble"]

MAX_S = 115.0


class CannotRun(Exception):
    """Raised if the case could not be played."""


def trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case_file: str, play: Callable[[Path, Record], Awaitable[list[str]]]) -> None:
    """Play a case, and exit with 1 if it returns broken rules, 0 if not, 2 if it could not run."""
    record = Record(Path(case_file).resolve().with_name("record.txt"))

    async def run() -> list[str]:
        with tempfile.TemporaryDirectory(prefix="baobabstream-case-") as folder:
            async with asyncio.timeout(MAX_S):
                return await play(Path(folder), record)

    record.write("case", trouble=trouble())
    try:
        broken = asyncio.run(run())
    except Exception as error:
        record.write("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(2)
    for line in broken:
        record.write("broken", what=line)
        print(f"broken: {line}")
    if not broken:
        record.write("held")
        print("held")
    sys.exit(1 if broken else 0)
