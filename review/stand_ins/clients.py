"""Stand-in of clients: single requests on new connections to one edge machine."""

import asyncio
import uuid
from dataclasses import dataclass
from typing import Any

from stand_ins.deployment import Machine, Record
from stand_ins.http_calls import call, read_body, read_head, write_request

__all__ = ["Clients", "KeptClient", "Sent", "make_config"]

HOST, KEY = "desk.example", "n2ctnfzs989anu6wsjnb"
DEADLINE_MS = 4000


@dataclass
class Sent:
    """One client attempt; the status is 0 without an answer."""

    request_id: str
    machine: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0


def make_config(version: int, path: str = "/sign/") -> dict[str, Any]:
    """Return a configuration with one route that may run once."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-sign",
                "host": HOST,
                "path_prefix": path,
                "route_kind": "unsafe",
                "timeout_ms": 2000,
                "slo_ms": 400,
                "priority": 2,
                "service": "desk",
                "max_attempts": 1,
                "anonymous": False,
            }
        ],
        "services": [
            {"name": "desk", "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": False}
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}],
    }


class Clients:
    """Sends requests at a steady rate to the edge machines in rotation."""

    def __init__(self, edges: list[Machine], record: Record, per_s: float) -> None:
        self._edges, self._record, self._gap_s = edges, record, len(edges) / per_s
        self.sent: dict[str, Sent] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Begin to send."""
        for edge in self._edges:
            self._keep(asyncio.create_task(self._run(edge)))

    def _keep(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, edge: Machine) -> None:
        while True:
            if edge.is_in_rotation:
                self._keep(asyncio.create_task(self._send(edge)))
            await asyncio.sleep(self._gap_s)

    async def _send(self, edge: Machine) -> None:
        sent = Sent(uuid.uuid4().hex[:16], edge.name, self._record.now_s)
        self.sent[sent.request_id] = sent
        headers = {
            "Host": HOST,
            "X-Request-Id": sent.request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Api-Key": KEY,
        }
        answer = await call(edge.front, "POST", "/sign/1", headers, b"x" * 200, DEADLINE_MS / 1000)
        sent.ended_s = self._record.now_s
        sent.status = answer.status if answer is not None else 0

    async def stop(self) -> None:
        """Send no more."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class KeptClient:
    """A client that sends its requests, one after the other, on one connection while that lasts."""

    def __init__(self, edge: Machine, record: Record) -> None:
        self._edge, self._record = edge, record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Seconds of the record at which the present connection was opened.
        self.connected_s = 0.0
        self.sent: list[Sent] = []

    async def send(self, target: str, extra: dict[str, str]) -> Sent:
        """Send one request; connect anew if there is no connection."""
        sent = Sent(uuid.uuid4().hex[:16], self._edge.name, self._record.now_s)
        self.sent.append(sent)
        headers = {
            "Host": HOST,
            "X-Request-Id": sent.request_id,
            "X-Deadline-Ms": str(DEADLINE_MS),
            "X-Api-Key": KEY,
        }
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(*self._edge.front)
                    self.connected_s = self._record.now_s
                assert self._reader is not None
                write_request(self._writer, "POST", target, headers | extra, b"x" * 200)
                status_line, answer_headers = await read_head(self._reader)
                await read_body(self._reader, answer_headers)
                sent.status = int(status_line.split(" ")[1])
                if answer_headers.get("connection", "").lower() == "close":
                    self.close()
        except (OSError, TimeoutError, EOFError):
            self.close()
        sent.ended_s = self._record.now_s
        return sent

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
