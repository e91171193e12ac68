"""Announces a stand-in backend server to the control hosts."""

import asyncio
import ssl
from itertools import cycle
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from baobabstream.backends.strict_http import StrictConnector, read_body
from baobabstream.telemetry.logs import get_logger

__all__ = ["Announcer"]

ANNOUNCE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
# Largest text of a refusal.
MAX_TEXT_BYTES = 64 * 1024

_log = get_logger("emulator")


class Announcer:
    """Sends an announcement every second to a control host that answers.

    Parameters
    ----------
    control_urls
        HTTP addresses of the control hosts.
    backend_key
        Key that authenticates backend servers.
    ca_file
        Authority of https control hosts, or None for the system's ones.
    """

    def __init__(
        self, control_urls: list[str], backend_key: str, ca_file: Path | None = None
    ) -> None:
        self._tls = ssl.create_default_context(cafile=ca_file) if ca_file is not None else True
        self._urls = cycle(control_urls)
        self._url = next(self._urls)
        self._tries = len(control_urls)
        self._headers = {"Authorization": f"Bearer {backend_key}"}

    async def run(self, body) -> None:
        """Announce until cancelled; ``body`` is called for each announcement."""
        while True:
            await self.send("announce", body())
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def send(self, call: str, body: dict[str, Any]) -> None:
        """Send one call, trying each control host once."""
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        connector = StrictConnector(ssl=self._tls)
        async with ClientSession(
            connector=connector, timeout=timeout, headers=self._headers
        ) as session:
            for _ in range(self._tries):
                try:
                    async with session.post(f"{self._url}/backend/v1/{call}", json=body) as answer:
                        if answer.status < 500:
                            if answer.status != 200:
                                text = await read_body(answer, MAX_TEXT_BYTES)
                                _log.warning("%s refused: %s", call, text.decode("latin-1"))
                            return
                except (ClientError, TimeoutError):
                    pass
                self._url = next(self._urls)
