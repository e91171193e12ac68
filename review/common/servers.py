"""A sound backend server of the platform, which announces itself and answers requests."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from deployment import HEARTBEAT_S, Deployment, Machine

__all__ = ["Request", "Run", "Server"]


@dataclass
class Request:
    """A request as the server has received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        return self.headers.get("x-request-id", "")


@dataclass
class Run:
    """One run of a request; ``ended_s`` is None while the server works on it."""

    request: Request
    began_s: float
    ended_s: float | None = None
    is_complete: bool = False


@dataclass
class Server:
    """A backend server.

    Subclasses answer requests in ``answer``; the default is a plain service.
    """

    deployment: Deployment
    number: int
    server_id: str
    service: str
    slots: int = 6
    work_s: float = 0.02
    runs: list[Run] = field(default_factory=list)
    # Machine to which each call to the control interface goes first, in turn.
    next_core: int = 0
    state: str = "ready"
    announces: bool = True

    async def start(self) -> None:
        """Start to listen and to announce the server."""
        self.born_ms = time.time_ns() // 1_000_000
        self.sequence = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener = await asyncio.start_server(
            self._serve, self.deployment.server_ip(self.number), 0, limit=2**23
        )
        ip, port = self._listener.sockets[0].getsockname()[:2]
        self.address = f"{ip}:{port}"
        self.log(f"listens at {self.address}")
        self._beats = asyncio.create_task(self._announce())

    def log(self, text: str) -> None:
        self.deployment.record.write(f"server {self.server_id}: {text}")

    def stop(self) -> None:
        """End the server: no more calls, and all connections closed."""
        self.log("ends")
        self._beats.cancel()
        self._listener.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def heartbeat(self) -> dict:
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": "bergen-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self.sequence,
            "born": self.born_ms,
        }

    async def call_control(self, path: str, body: dict) -> Machine | None:
        """Call the cores in turn until one acknowledges; return it, or None if none does."""
        cores = self.deployment.cores
        for _ in range(len(cores)):
            machine = cores[self.next_core % len(cores)]
            self.next_core += 1
            status, _ = await self.deployment.call_control(machine, "POST", path, body)
            verb = path.rpartition("/")[2]
            self.log(
                f"{verb} {body.get('state', '')} seq {body.get('seq')} to {machine.name}: {status}"
            )
            if 200 <= status < 300:
                return machine
        return None

    async def _announce(self) -> None:
        while True:
            began_s = time.monotonic()
            if self.announces:
                path = f"/baobabstream/replicas/{self.server_id}/heartbeat"
                await self.call_control(path, self.heartbeat())
            await asyncio.sleep(max(0.05, HEARTBEAT_S - (time.monotonic() - began_s)))

    async def deregister(self) -> Machine | None:
        """Say that the server leaves; return the machine that acknowledged it."""
        self.announces = False
        self.sequence += 1
        path = f"/baobabstream/replicas/{self.server_id}/deregister"
        return await self.call_control(path, {"born": self.born_ms, "seq": self.sequence})

    def stamp(self, request: Request) -> str:
        return f"{self.server_id}.{request.request_id}.{random.getrandbits(32):08x}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                await self._handle(request, reader, writer)
        except (EOFError, OSError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Request, reader, writer) -> None:
        if request.target == "/health":
            self.write_answer(writer, request, 200 if self.state == "ready" else 503, b"")
            return
        if not request.request_id:
            self.write_answer(writer, request, 400, b"", "X-Not-Executed: 1\r\n")
            return
        expected = request.headers.get("x-expect-replica")
        if expected is not None and expected != self.server_id:
            self.log(f"{request.request_id} is for {expected}, answers 421")
            self.write_answer(writer, request, 421, b"")
            return
        run = Run(request, self.deployment.record.now_s())
        self.runs.append(run)
        self.log(f"{request.request_id} begins to run")
        # A server drops a request when its connection closes.
        gone = asyncio.ensure_future(reader.read(1))
        work = asyncio.ensure_future(self.answer(request, writer))
        try:
            await asyncio.wait({gone, work}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self.log(f"{request.request_id} is dropped, as its connection has closed")
                raise EOFError
            await work
            run.is_complete = True
        finally:
            work.cancel()
            run.ended_s = self.deployment.record.now_s()
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
        self.log(f"{request.request_id} has run")

    async def answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Run a request and write its answer."""
        await asyncio.sleep(self.work_s)
        extra = f"X-Replica-Stamp: {self.stamp(request)}\r\n"
        self.write_answer(writer, request, 200, b"record of " + request.target.encode(), extra)

    def write_answer(
        self,
        writer: asyncio.StreamWriter,
        request: Request,
        status: int,
        body: bytes,
        extra: str = "",
    ) -> None:
        """Write an answer with a length."""
        head = (
            f"HTTP/1.1 {status} Answer\r\nX-Request-Id: {request.request_id}\r\n"
            f"X-Replica-Id: {self.server_id}\r\nKeep-Alive: timeout=15\r\n{extra}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)


async def _read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:size]
        await reader.readline()
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)
