"""In-process entry daemon with fake control hosts, engines and services."""

import asyncio
import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from hashlib import sha256
from random import Random
from typing import Any

from aiohttp import ClientSession, web

from baobabstream.control.claims import ClaimTable
from baobabstream.entry.daemon import EntryDaemon
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.baselines import LeastInFlight
from baobabstream.settings.models import ControlPeer, EntrySettings, HttpListener
from baobabstream.wire import messages as m
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.rows import (
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    ConfigRow,
    LoadedVersion,
    RouteRow,
    RowEntry,
    VersionRow,
    row_key,
)
from baobabstream.wire.rpc import RpcServer
from free_ports import free_port

SECRET = "0123456789abcdef"
KEY = "desk-key"
CHAT = {"model": "auto", "messages": [{"role": "user", "content": "hello"}]}


async def until(condition: Callable[[], Any], timeout_s: float = 5.0) -> None:
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    while not condition():
        assert loop.time() < end_s, "the condition did not become true"
        await asyncio.sleep(0.005)


def default_rows() -> list[ConfigRow]:
    def account(name: str, key: str) -> AccountRow:
        digest = sha256(key.encode()).hexdigest()
        return AccountRow(name, digest, ("small", "large"), ("waivers", "notes"), "question")

    return [
        account("desk", KEY),
        account("crew", "crew-key"),
        ClassRow("question", 0.9, 800, 5000),
        VersionRow("small", "1", 0.2),
        VersionRow("large", "1", 2.0),
        RouteRow("sign", "waivers", "/waivers", idempotent=False, timeout_s=0.5),
        RouteRow("read", "notes", "/notes", idempotent=True, timeout_s=0.5),
        RouteRow("closed", "closed", "/closed", idempotent=True),
    ]


class FakeControl:
    """State shared by the fake control hosts; each host has its own availability zone."""

    def __init__(self, rows: list[ConfigRow]) -> None:
        self.revision = 1
        self.entries = [RowEntry(row_key(row), 1, row) for row in rows]
        self.backends: dict[str, BackendRecord] = {}
        self.claims = ClaimTable()
        self.bills: dict[str, list[m.Bill]] = {"control-0": [], "control-1": []}
        self.bills_refused: set[str] = set()
        self.suspects: list[m.SuspectRequest] = []
        self.trial_ends: list[m.TrialEnd] = []
        self.trial_reply = m.TrialReply()
        self.gate = asyncio.Event()
        self.gate.set()
        self.leader = True
        self.on_claim: Callable[[], Awaitable[None]] | None = None

    def put(self, row: ConfigRow) -> None:
        self.revision += 1
        self.entries.append(RowEntry(row_key(row), self.revision, row))

    def handler(self, host: str):
        async def handle(_: str, message: Any) -> Any:
            if isinstance(message, m.BillRequest):
                if host in self.bills_refused:
                    raise PeerError(ResultCode.DISK_FAILED)
                self.bills[host].extend(message.bills)
                return m.BillReply(host, host, len(message.bills))
            if not self.leader:
                raise PeerError(ResultCode.NO_LEADER)
            return await self._lead(message)

        return handle

    async def _lead(self, message: Any) -> Any:
        match message:
            case m.PollRequest():
                await asyncio.sleep(0.01)
                rows = tuple(x for x in self.entries if x.revision > message.applied_revision)
                backends = tuple(self.backends.values())
                return m.PollReply(1, self.revision, 4000, rows, 1, 1, True, backends)
            case m.ClaimRequest():
                if self.on_claim is not None:
                    await self.on_claim()
                return self.claims.apply(message, 1)
            case m.SuspectRequest():
                self.suspects.append(message)
                await self.gate.wait()
                return m.SuspectReply()
            case m.TrialRequest():
                return self.trial_reply
            case m.TrialEnd():
                self.trial_ends.append(message)
                return m.TrialEndReply()
        raise PeerError(ResultCode.MESSAGE_MALFORMED)


def chunk(request_id: str, index: int, last: bool, text: str = "") -> bytes:
    choice = {
        "index": 0,
        "delta": {"content": text or f"t{index} "},
        "finish_reason": "stop" if last else None,
    }
    document = {"id": f"chatcmpl-{request_id}", "object": "chat.completion.chunk", "created": 1,
                "model": "small", "choices": [choice]}  # fmt: skip
    return b"data: " + json.dumps(document).encode() + b"\n\n"


@dataclass
class FakeServer:
    """A backend server whose faults are set by attributes."""

    identity: str
    kind: BackendKind = BackendKind.ENGINE
    model: str = "small"
    service: str = ""
    tokens: int = 5
    status: int = 200
    stop_after: int | None = None  # tokens after which ``stop`` happens
    stop: str = ""  # "abort", "end" (no final marker) or "stall"
    stop_once: bool = False
    foreign: str = ""  # "head", "chunk" or "double"
    health: int = 200
    gate: asyncio.Event = field(default_factory=asyncio.Event)
    seen: list[dict[str, str]] = field(default_factory=list)
    bodies: list[Any] = field(default_factory=list)
    connections: set[int] = field(default_factory=set)
    cancelled: int = 0
    url: str = ""

    def __post_init__(self) -> None:
        self.gate.set()

    def record(self) -> BackendRecord:
        loaded = (LoadedVersion(self.model, "1"),) if self.kind is BackendKind.ENGINE else ()
        return BackendRecord(self.identity, 7, self.kind, self.url, "zone-a", self.service, loaded)

    async def _health(self, _: web.Request) -> web.Response:
        return web.Response(status=self.health)

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.seen.append(dict(request.headers))
        assert request.transport is not None
        self.connections.add(request.transport.get_extra_info("peername")[1])
        self.bodies.append(await request.read())
        try:
            return await (
                self._chat(request) if self.kind is BackendKind.ENGINE else self._plain(request)
            )
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def _plain(self, request: web.Request) -> web.Response:
        assert request.transport is not None
        await self.gate.wait()
        if self.stop == "abort":
            request.transport.abort()
        return web.json_response({"by": self.identity, "run": len(self.seen)}, status=self.status)

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        identity = request.headers["X-Request-Id"]
        if self.status != 200:
            return web.Response(status=self.status)
        head = {"X-Request-Id": "other.1" if self.foreign == "head" else identity}
        response = web.StreamResponse(headers=head | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        request_id = "other" if self.foreign == "chunk" else identity.partition(".")[0]
        for index in range(int(request.headers["X-Resume-Tokens"]), self.tokens):
            if index == self.stop_after:
                stop = self.stop
                if self.stop_once:
                    self.stop_after = None
                if stop == "abort":
                    assert request.transport is not None
                    request.transport.abort()
                if stop == "stall":
                    await asyncio.Event().wait()
                return response
            await self.gate.wait()
            await response.write(chunk(request_id, index, index == self.tokens - 1))
        if self.foreign == "double":
            await response.write(chunk(request_id, 0, False))
        await response.write(b"data: [DONE]\n\n")
        return response


async def start_app(stack: AsyncExitStack, app: web.Application) -> str:
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return f"http://127.0.0.1:{runner.addresses[0][1]}"


async def start_server(stack: AsyncExitStack, server: FakeServer) -> None:
    app = web.Application(client_max_size=2**24)
    app.router.add_get("/healthz", server._health)
    app.router.add_route("*", "/{path:.*}", server._serve)
    server.url = await start_app(stack, app)


@dataclass
class Harness:
    daemon: EntryDaemon
    control: FakeControl
    session: ClientSession
    url: str
    stopped: bool = False

    def ask(self, stream: bool = False, headers: dict[str, str] | None = None, **body: Any):
        return self.session.post(
            f"{self.url}/v1/chat/completions",
            json=CHAT | {"stream": stream} | body,
            headers=headers or {},
        )

    async def answer(self, **arguments: Any) -> tuple[int, Any]:
        async with self.ask(**arguments) as response:
            return response.status, await response.json()

    async def stop(self) -> None:
        if not self.stopped:
            self.stopped = True
            await self.daemon.stop()


@asynccontextmanager
async def harness(
    *servers: FakeServer, policy: RoutingPolicy | None = None, **settings: Any
) -> AsyncIterator[Harness]:
    async with AsyncExitStack() as stack:
        control = FakeControl(default_rows())
        for server in servers:
            await start_server(stack, server)
            control.backends[server.identity] = server.record()
        peers = []
        for host in control.bills:
            port = free_port()
            codec = WireCodec("test", host, SECRET)
            rpc = RpcServer(f"tcp://127.0.0.1:{port}", codec, control.handler(host), max_workers=8)
            stack.push_async_callback(rpc.close)
            peers.append(ControlPeer(host=host, availability_zone=host, port=port, http_port=port))
        port = free_port()
        defaults = {"drain_notice_s": 0.0, "gap_timeout_s": 0.2, "probe_timeout_s": 0.2}
        daemon = EntryDaemon(
            EntrySettings(
                cluster="test",
                host="entry-1",
                availability_zone="zone-a",
                peer_secret=SECRET,
                session_secret=SECRET,
                control=peers,
                listener=HttpListener(port=port),
                **(defaults | settings),
            ),
            Random(1),
            policy or LeastInFlight(Random(1)),
        )
        await daemon.start()
        session = ClientSession(headers={"Authorization": f"Bearer {KEY}"})
        entry = Harness(daemon, control, session, f"http://127.0.0.1:{port}")
        stack.push_async_callback(entry.stop)
        stack.push_async_callback(session.close)
        await until(lambda: daemon.view.revision == control.revision)
        yield entry
