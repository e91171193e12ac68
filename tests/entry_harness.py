"""In-process entry daemon with fake control hosts, engines and plain services.

An engine answers chat requests with the tokens "t0 ", "t1 " and so on.
"""

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
from baobabstream.wire import messages as wire_messages
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
from baobabstream.wire.rpc_server import RpcServer
from free_ports import free_port

SECRET = "0123456789abcdef"
API_KEY = "desk-key"
CHAT_BODY = {"model": "auto", "messages": [{"role": "user", "content": "hello"}]}


async def wait_until(condition: Callable[[], Any], timeout_s: float = 5.0) -> None:
    """Wait until a condition is true; fail after ``timeout_s`` seconds."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while not condition():
        assert loop.time() < deadline_s, "the condition did not become true"
        await asyncio.sleep(0.005)


def default_rows() -> list[ConfigRow]:
    """Return a configuration with two accounts, two models and three plain services."""

    def make_account(name: str, api_key: str) -> AccountRow:
        """Return an account that may use the models and services of the tests."""
        digest = sha256(api_key.encode()).hexdigest()
        return AccountRow(name, digest, ("small", "large"), ("waivers", "notes"), "question")

    return [
        make_account("desk", API_KEY),
        make_account("crew", "crew-key"),
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
        self.row_entries = [RowEntry(row_key(row), 1, row) for row in rows]
        self.backends: dict[str, BackendRecord] = {}
        self.claims = ClaimTable()
        # Received bills and refusing hosts, by host name.
        self.bills: dict[str, list[wire_messages.Bill]] = {"control-0": [], "control-1": []}
        self.hosts_refusing_bills: set[str] = set()
        self.suspect_reports: list[wire_messages.SuspectRequest] = []
        self.trial_ends: list[wire_messages.TrialEnd] = []
        self.trial_reply = wire_messages.TrialReply()
        # Cleared by a test to delay the replies to loss reports.
        self.may_acknowledge_losses = asyncio.Event()
        self.may_acknowledge_losses.set()
        # Whether the fake hosts answer messages to the leader.
        self.has_leader = True
        # Run by the leader before each claim is applied.
        self.on_claim: Callable[[], Awaitable[None]] | None = None

    def put_row(self, row: ConfigRow) -> None:
        """Add or replace a configuration row, at a new revision."""
        self.revision += 1
        self.row_entries.append(RowEntry(row_key(row), self.revision, row))

    def make_handler(self, host: str):
        """Return the message handler of one fake control host."""

        async def handle(_: str, message: Any) -> Any:
            """Reply to a message."""
            if isinstance(message, wire_messages.BillRequest):
                if host in self.hosts_refusing_bills:
                    raise PeerError(ResultCode.DISK_FAILED)
                self.bills[host].extend(message.bills)
                return wire_messages.BillReply(host, host, len(message.bills))
            if not self.has_leader:
                raise PeerError(ResultCode.NO_LEADER)
            return await self._reply_as_leader(message)

        return handle

    async def _reply_as_leader(self, message: Any) -> Any:
        """Return the reply of the control leader to a message."""
        match message:
            case wire_messages.PollRequest():
                await asyncio.sleep(0.01)
                rows = tuple(
                    entry for entry in self.row_entries if entry.revision > message.applied_revision
                )
                backends = tuple(self.backends.values())
                return wire_messages.PollReply(1, self.revision, 4000, rows, 1, 1, True, backends)
            case wire_messages.ClaimRequest():
                if self.on_claim is not None:
                    await self.on_claim()
                return self.claims.apply(message, 1)
            case wire_messages.SuspectRequest():
                self.suspect_reports.append(message)
                await self.may_acknowledge_losses.wait()
                return wire_messages.SuspectReply()
            case wire_messages.TrialRequest():
                return self.trial_reply
            case wire_messages.TrialEnd():
                self.trial_ends.append(message)
                return wire_messages.TrialEndReply()
        raise PeerError(ResultCode.MESSAGE_MALFORMED)


def make_chunk(request_id: str, index: int, is_last: bool, text: str = "") -> bytes:
    """Return the server-sent event of one token; ``text`` replaces its default text."""
    choice = {
        "index": 0,
        "delta": {"content": text or f"t{index} "},
        "finish_reason": "stop" if is_last else None,
    }
    document = {"id": f"chatcmpl-{request_id}", "object": "chat.completion.chunk", "created": 1,
                "model": "small", "choices": [choice]}  # fmt: skip
    return b"data: " + json.dumps(document).encode() + b"\n\n"


@dataclass
class FakeServer:
    """A backend server whose faults are set by attributes.

    Attributes
    ----------
    identity
        Identity of the server in the configuration.
    model, service
        Model of an engine, or service of a plain server.
    token_count
        Tokens of a complete answer.
    http_status, health_status
        Status of answers and of health checks.
    fault_after_tokens
        Tokens after which ``fault`` happens, or None.
    fault
        "abort" closes the connection, "end" ends the answer without the final marker, and "stall"
        sends nothing more.
    is_fault_once
        Whether the fault happens only in the first answer.
    foreign_answer
        "head" or "chunk" puts the identity of another request there; "double" sends an event too
        many.
    may_answer
        Cleared by a test to delay answers.
    received_headers, received_bodies
        Headers and bodies of the requests so far.
    client_ports
        Ports of the connections on which requests arrived.
    cancelled_count
        Requests whose connection was closed by the entry before they were answered.
    url
        Address of the server.
    """

    identity: str
    kind: BackendKind = BackendKind.ENGINE
    model: str = "small"
    service: str = ""
    token_count: int = 5
    http_status: int = 200
    fault_after_tokens: int | None = None
    fault: str = ""
    is_fault_once: bool = False
    foreign_answer: str = ""
    health_status: int = 200
    may_answer: asyncio.Event = field(default_factory=asyncio.Event)
    received_headers: list[dict[str, str]] = field(default_factory=list)
    received_bodies: list[Any] = field(default_factory=list)
    client_ports: set[int] = field(default_factory=set)
    cancelled_count: int = 0
    url: str = ""

    def __post_init__(self) -> None:
        """Let the server answer at once by default."""
        self.may_answer.set()

    def record(self) -> BackendRecord:
        """Return the record with which the server is announced."""
        loaded = (LoadedVersion(self.model, "1"),) if self.kind is BackendKind.ENGINE else ()
        return BackendRecord(self.identity, 7, self.kind, self.url, "zone-a", self.service, loaded)

    async def _answer_health_check(self, _: web.Request) -> web.Response:
        """Answer a health check."""
        return web.Response(status=self.health_status)

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        """Record a request and answer it."""
        self.received_headers.append(dict(request.headers))
        assert request.transport is not None
        self.client_ports.add(request.transport.get_extra_info("peername")[1])
        self.received_bodies.append(await request.read())
        try:
            return await (
                self._stream_chat(request)
                if self.kind is BackendKind.ENGINE
                else self._answer_call(request)
            )
        except asyncio.CancelledError:
            self.cancelled_count += 1
            raise

    async def _answer_call(self, request: web.Request) -> web.Response:
        """Answer a call of a plain service."""
        assert request.transport is not None
        await self.may_answer.wait()
        if self.fault == "abort":
            request.transport.abort()
        return web.json_response(
            {"by": self.identity, "run": len(self.received_headers)}, status=self.http_status
        )

    async def _stream_chat(self, request: web.Request) -> web.StreamResponse:
        """Stream the answer of a chat request, with the faults that are set."""
        attempt_identity = request.headers["X-Request-Id"]
        if self.http_status != 200:
            return web.Response(status=self.http_status)
        head_headers = {
            "X-Request-Id": "other.1" if self.foreign_answer == "head" else attempt_identity
        }
        response = web.StreamResponse(headers=head_headers | {"Content-Type": "text/event-stream"})
        await response.prepare(request)
        request_id = (
            "other" if self.foreign_answer == "chunk" else attempt_identity.partition(".")[0]
        )
        for index in range(int(request.headers["X-Resume-Tokens"]), self.token_count):
            if index == self.fault_after_tokens:
                fault = self.fault
                if self.is_fault_once:
                    self.fault_after_tokens = None
                if fault == "abort":
                    assert request.transport is not None
                    request.transport.abort()
                if fault == "stall":
                    await asyncio.Event().wait()
                return response
            await self.may_answer.wait()
            await response.write(make_chunk(request_id, index, index == self.token_count - 1))
        if self.foreign_answer == "double":
            await response.write(make_chunk(request_id, 0, False))
        await response.write(b"data: [DONE]\n\n")
        return response


async def start_app(stack: AsyncExitStack, app: web.Application) -> str:
    """Serve an application until ``stack`` is closed; return its URL."""
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    return f"http://127.0.0.1:{runner.addresses[0][1]}"


async def start_server(stack: AsyncExitStack, server: FakeServer) -> None:
    """Start a fake backend server and set its URL."""
    app = web.Application(client_max_size=2**24)
    app.router.add_get("/healthz", server._answer_health_check)
    app.router.add_route("*", "/{path:.*}", server._handle_request)
    server.url = await start_app(stack, app)


@dataclass
class EntryHarness:
    """A running entry daemon, its fake control hosts and a caller's HTTP session."""

    daemon: EntryDaemon
    control: FakeControl
    session: ClientSession
    url: str
    is_stopped: bool = False

    def post_chat(self, stream: bool = False, headers: dict[str, str] | None = None, **body: Any):
        """Return a chat request to be entered; ``body`` overrides fields of ``CHAT_BODY``."""
        return self.session.post(
            f"{self.url}/v1/chat/completions",
            json=CHAT_BODY | {"stream": stream} | body,
            headers=headers or {},
        )

    async def chat(self, **arguments: Any) -> tuple[int, Any]:
        """Send a chat request; return the status and the decoded body of the response."""
        async with self.post_chat(**arguments) as response:
            return response.status, await response.json()

    async def stop(self) -> None:
        """Stop the daemon, unless it was stopped before."""
        if not self.is_stopped:
            self.is_stopped = True
            await self.daemon.stop()


@asynccontextmanager
async def running_entry(
    *servers: FakeServer, policy: RoutingPolicy | None = None, **settings: Any
) -> AsyncIterator[EntryHarness]:
    """Run an entry daemon with fake control hosts and the given backend servers.

    ``settings`` overrides settings of the daemon; the default policy is ``LeastInFlight``.
    """
    async with AsyncExitStack() as stack:
        control = FakeControl(default_rows())
        for server in servers:
            await start_server(stack, server)
            control.backends[server.identity] = server.record()
        control_peers = []
        for host in control.bills:
            port = free_port()
            codec = WireCodec("test", host, SECRET)
            rpc = RpcServer(f"tcp://127.0.0.1:{port}", codec, control.make_handler(host))
            stack.push_async_callback(rpc.close)
            control_peers.append(
                ControlPeer(host=host, availability_zone=host, port=port, http_port=port)
            )
        port = free_port()
        defaults = {"drain_notice_s": 0.0, "gap_timeout_s": 0.2, "probe_timeout_s": 0.2}
        daemon = EntryDaemon(
            EntrySettings(
                cluster="test",
                host="entry-1",
                availability_zone="zone-a",
                peer_secret=SECRET,
                session_secret=SECRET,
                control=control_peers,
                listener=HttpListener(port=port),
                **(defaults | settings),
            ),
            Random(1),
            policy or LeastInFlight(Random(1)),
        )
        await daemon.start()
        session = ClientSession(headers={"Authorization": f"Bearer {API_KEY}"})
        entry = EntryHarness(daemon, control, session, f"http://127.0.0.1:{port}")
        stack.push_async_callback(entry.stop)
        stack.push_async_callback(session.close)
        await wait_until(lambda: daemon.view.revision == control.revision)
        yield entry
