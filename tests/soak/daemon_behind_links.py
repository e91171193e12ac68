"""Runs a daemon whose connections to backend servers are cut as a file tells.

Usage: ``daemon_behind_links.py ROLE`` with the variables ``SOAK_CUT_FILE`` and those of the daemon.
"""

import asyncio
import os
import runpy
import sys
from functools import partial
from pathlib import Path

sys.path[:0] = [str(Path(__file__).parents[1])]

import uvloop  # noqa: E402 - the path is set above

from server_links import CutKind, ServerLinks, current_gateway  # noqa: E402

# All backend servers listen here, and no daemon does.
SERVER_IP = "127.0.0.1"
POLL_INTERVAL_S = 0.02
# The only gateway of this process.
GATEWAY = "this"


class _ProcessLinks(ServerLinks):
    """Links of the one gateway of this process."""

    def __init__(self, cut_file: Path) -> None:
        super().__init__()
        self._cut_file = cut_file
        self._poll_task: asyncio.Task[None] | None = None

    def is_server(self, host: str | None, port: int | None) -> bool:
        return host == SERVER_IP

    def start_polling(self) -> None:
        """Follow the file from now on."""
        if self._poll_task is None:
            self._poll_task = asyncio.create_task(self._poll())

    async def _poll(self) -> None:
        """Cut and restore the links as the file tells."""
        kind_in_effect = ""
        while True:
            kind = self._cut_file.read_text() if self._cut_file.exists() else ""
            if kind != kind_in_effect:
                kind_in_effect = kind
                self.heal(GATEWAY)
                if kind:
                    self.cut(GATEWAY, CutKind(kind))
            await asyncio.sleep(POLL_INTERVAL_S)


def main() -> None:
    """Lead the connections of the event loop through the links, and run the daemon."""
    links = _ProcessLinks(Path(os.environ["SOAK_CUT_FILE"]))
    create_connection = uvloop.Loop.create_connection

    async def create_linked_connection(loop, protocol_factory, host=None, port=None, **options):
        links.start_polling()
        return await links.create_connection(
            partial(create_connection, loop), protocol_factory, host, port, **options
        )

    uvloop.Loop.create_connection = create_linked_connection
    current_gateway.set(GATEWAY)
    runpy.run_module("baobabstream.platform", run_name="__main__")


main()
