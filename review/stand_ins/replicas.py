"""Stand-in of a replica of a plain service, as `PROTOCOL.md` describes it."""

import asyncio
import json
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import count

from stand_ins.deployment import HEARTBEAT_MS, Machine, Record
from stand_ins.http_calls import call, read_body, read_head

__all__ = ["Arrival", "Replica"]

PORT = 8120


@dataclass
class Arrival:
    """A request that has reached a replica; times are those of the record."""

    request_id: str
    at_s: float
    was_run: bool = False
    was_answered: bool = False


class Replica:
    """A replica that announces itself, runs requests and leaves.

    Parameters
    ----------
    server_id, service, ip
        Identity, service and address.
    record
        Takes what happens.
    work_s
        Time that a request runs.
    pick
        Returns the core machines to call, in the order in which they are tried.
    """

    def __init__(
        self,
        server_id: str,
        service: str,
        ip: str,
        record: Record,
        work_s: float,
        pick: Callable[[], list[Machine]],
        version: str = "v1",
    ) -> None:
        self.server_id, self.service, self.ip = server_id, service, ip
        self._record, self._work_s, self._pick, self._version = record, work_s, pick, version
        self._born_ms = int(time.time() * 1000)
        self._sequence: Iterator[int] = count(1)
        self.arrivals: list[Arrival] = []
        self.is_open = False
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._heartbeat_task: asyncio.Task[None] | None = None
        # Names of the core machines that acknowledged heartbeats, the last at the end.
        self.acknowledged_by: list[str] = []

    async def start(self) -> None:
        """Listen, and announce the replica until it leaves."""
        self._server = await asyncio.start_server(self._serve, self.ip, PORT)
        self.is_open = True
        self._heartbeat_task = asyncio.create_task(self._announce())

    async def _announce(self) -> None:
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def send_heartbeat(self, state: str = "ready") -> str | None:
        """Send one heartbeat; return the name of the machine that acknowledged it."""
        body = {
            "service": self.service,
            "address": f"{self.ip}:{PORT}",
            "zone": "accra-a",
            "version": self._version,
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "born": self._born_ms,
            "seq": next(self._sequence),
        }
        return await self._call("heartbeat", json.dumps(body).encode(), self._pick())

    async def leave(self, machines: list[Machine]) -> str | None:
        """Deregister as the example of `fleetbench wire` shows it, without a body."""
        assert self._heartbeat_task is not None
        self._heartbeat_task.cancel()
        return await self._call("deregister", b"", machines)

    def stop_heartbeats(self) -> None:
        """Send no more heartbeats."""
        assert self._heartbeat_task is not None
        self._heartbeat_task.cancel()

    async def _call(self, verb: str, body: bytes, machines: list[Machine]) -> str | None:
        headers = {"Content-Type": "application/json"} if body else {}
        path = f"/baobabstream/replicas/{self.server_id}/{verb}"
        for machine in machines:
            answer = await call(machine.control, "POST", path, headers, body)
            status = answer.status if answer is not None else 0
            if verb != "heartbeat" or status != 200:
                self._record.write(verb, id=self.server_id, to=machine.name, status=status)
            if 200 <= status < 300:
                self.acknowledged_by.append(machine.name)
                return machine.name
        return None

    def exit(self) -> None:
        """End at once, with all connections."""
        self._record.write("exit", id=self.server_id)
        self.is_open = False
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            while True:
                _, headers = await read_head(reader)
                await read_body(reader, headers)
                await self._answer(headers, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, headers: dict[str, str], writer: asyncio.StreamWriter) -> None:
        request_id = headers.get("x-request-id", "")
        arrival = Arrival(request_id, self._record.now_s)
        if headers.get("x-expect-replica", self.server_id) != self.server_id:
            self._write(writer, 421, request_id, "X-Not-Executed: 1\r\n", b"")
            return
        self.arrivals.append(arrival)
        arrival.was_run = True
        await asyncio.sleep(self._work_s)
        if writer.transport.is_closing():
            raise ConnectionResetError
        stamp = f"X-Replica-Stamp: {self.server_id}.{request_id}\r\nKeep-Alive: timeout=5\r\n"
        self._write(writer, 200, request_id, stamp, f"done {request_id}".encode())
        await writer.drain()
        arrival.was_answered = True

    @staticmethod
    def _write(
        writer: asyncio.StreamWriter, status: int, request_id: str, extra: str, body: bytes
    ) -> None:
        head = (
            f"HTTP/1.1 {status} Status\r\nX-Request-Id: {request_id}\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
