"""Measures the relay of one entry process against the same stand-in engines called directly.

Four stand-in engine processes and two load processes surround one entry process that is pinned to
one core. Every figure comes from one run; the direct and the relayed part use the same load.
"""

import argparse
import asyncio
import cProfile
import io
import json
import multiprocessing
import os
import pstats
import socket
import time
from hashlib import sha256
from pathlib import Path
from random import Random

import psutil
import uvloop

from baobabstream.cli.run_daemon import stop_event
from baobabstream.entry.daemon import EntryDaemon
from baobabstream.settings.models import ControlPeer, EntrySettings, HttpListener
from baobabstream.wire import messages
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.rows import (
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    LoadedVersion,
    RowEntry,
    VersionRow,
    row_key,
)
from baobabstream.wire.rpc_server import RpcServer
from baobabstream.wire.threads import limit_nng_threads

SECRET = "0123456789abcdef"
KEY = "relay-key"
TICK_S = 0.026
# Batch slots of a stand-in engine; the entry's admission refuses requests beyond them.
ENGINE_SLOTS = 512
LOAD_PROCESSES = 2


def free_port() -> int:
    """Return a free port."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class StandInEngine(asyncio.Protocol):
    """Streams chunks at a fixed gap with one write per token and stream."""

    active: set["StandInEngine"] = set()

    def connection_made(self, transport) -> None:
        """Keep the transport."""
        self._transport = transport
        self._buffer = b""

    def connection_lost(self, _) -> None:
        """Stop the stream."""
        self.active.discard(self)

    def data_received(self, data: bytes) -> None:
        """Start an answer once the whole request has come."""
        self._buffer += data
        head, separator, body = self._buffer.partition(b"\r\n\r\n")
        if not separator:
            return
        headers = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if b": " in line
        )
        if len(body) < int(headers.get(b"content-length", b"0")):
            return
        self._buffer = b""
        identity = headers.get(b"x-request-id", b"direct.1")
        chunk = {
            "id": f"chatcmpl-{identity.partition(b'.')[0].decode()}",
            "object": "chat.completion.chunk",
            "created": 1,
            "model": "small",
            "choices": [{"index": 0, "delta": {"content": "word "}, "finish_reason": None}],
        }
        event = b"data: " + json.dumps(chunk).encode() + b"\n\n"
        self._event = b"%x\r\n%b\r\n" % (len(event), event)
        self._left = json.loads(body)["max_tokens"]
        self._transport.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Request-Id: " + identity + b"\r\n\r\n"
        )
        self.active.add(self)

    def tick(self) -> None:
        """Write one token."""
        self._left -= 1
        self._transport.write(self._event)
        if self._left <= 0:
            self.active.discard(self)
            self._transport.write(b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")


async def run_engine(port: int, gap_s: float) -> None:
    """Serve until killed; the streams are spread over ten slices of the gap."""
    loop = asyncio.get_running_loop()
    await loop.create_server(StandInEngine, "127.0.0.1", port, backlog=4096)
    slices = 10
    next_s = loop.time()
    turn = 0
    while True:
        streams = [item for item in StandInEngine.active if id(item) // 64 % slices == turn]
        for stream in streams:
            stream.tick()
        turn = (turn + 1) % slices
        next_s += gap_s / slices
        await asyncio.sleep(max(0.0, next_s - loop.time()))


class Caller(asyncio.Protocol):
    """Sends one chat request and notes when its tokens come."""

    def __init__(self, request: bytes, done: asyncio.Future) -> None:
        self._request = request
        self._done = done
        self.first_s = 0.0
        self.tokens = 0
        self._tail = b""

    def connection_made(self, transport) -> None:
        """Send the request."""
        self._transport = transport
        self.sent_s = time.monotonic()
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens until the final marker."""
        if data.startswith(b"HTTP/1.1 ") and not data.startswith(b"HTTP/1.1 200"):
            self._transport.close()
            return
        count = data.count(b'"content"')
        if count and not self.tokens:
            self.first_s = time.monotonic()
        self.tokens += count
        self._tail = (self._tail + data)[-64:]
        if b"[DONE]" in self._tail and not self._done.done():
            self._transport.close()
            self._done.set_result(None)

    def connection_lost(self, _) -> None:
        """End."""
        if not self._done.done():
            self._done.set_result(None)


def chat_request(tokens: int) -> bytes:
    """Return the bytes of a chat request."""
    body = json.dumps(
        {"model": "small", "stream": True, "max_tokens": tokens,
         "messages": [{"role": "user", "content": "x" * 400}]}
    ).encode()  # fmt: skip
    return (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode() + body


async def run_load(ports: list[int], streams: int, tokens: int, ramp_s: float) -> list[Caller]:
    """Run the streams side by side, started over ``ramp_s`` seconds."""
    loop = asyncio.get_running_loop()
    request = chat_request(tokens)
    callers: list[Caller] = []
    ends = []
    for index in range(streams):
        done = loop.create_future()
        _, caller = await loop.create_connection(
            lambda done=done: Caller(request, done), "127.0.0.1", ports[index % len(ports)]
        )
        callers.append(caller)
        ends.append(done)
        await asyncio.sleep(ramp_s / streams)
    await asyncio.wait(ends, timeout=120)
    return callers


def load_process(results, ports: list[int], streams: int, tokens: int, ramp_s: float) -> None:
    """Run one load process and send back its figures."""
    started_s = time.monotonic()
    callers = uvloop.run(run_load(ports, streams, tokens, ramp_s))
    first = [item.first_s - item.sent_s for item in callers if item.tokens]
    refused = sum(not item.tokens for item in callers)
    total = sum(item.tokens for item in callers)
    results.put((first, total, started_s, time.monotonic(), refused))


def measure(ports: list[int], streams: int, tokens: int, ramp_s: float) -> dict[str, float]:
    """Run all load processes and return the joint figures."""
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    share = streams // LOAD_PROCESSES
    started = [
        context.Process(target=load_process, args=(results, ports, share, tokens, ramp_s))
        for _ in range(LOAD_PROCESSES)
    ]
    for process in started:
        process.start()
    rows = [results.get(timeout=180) for _ in started]
    for process in started:
        process.join()
    first = sorted(item for row in rows for item in row[0])
    total = sum(row[1] for row in rows)
    seconds = max(row[3] for row in rows) - min(row[2] for row in rows)
    return {
        "expected_tokens": share * LOAD_PROCESSES * tokens,
        "tokens": total,
        "without_tokens": sum(row[4] for row in rows),
        "seconds": seconds,
        "tokens_per_s": total / seconds,
        "first_token_p50_ms": 1000 * first[len(first) // 2],
        "first_token_p99_ms": 1000 * first[int(len(first) * 0.99)],
    }


async def run_entry(port: int, control_port: int) -> None:
    """Run the entry daemon until the process gets SIGTERM."""
    stop = stop_event()
    daemon = EntryDaemon(
        EntrySettings(
            cluster="relay",
            host="entry-1",
            availability_zone="zone-1",
            peer_secret=SECRET,
            session_secret=SECRET,
            drain_notice_s=0,
            control=[
                ControlPeer(
                    host="control-1",
                    availability_zone="zone-1",
                    port=control_port,
                    http_port=control_port,
                )
            ],
            listener=HttpListener(port=port),
        ),
        Random(1),
    )
    await daemon.start()
    await stop.wait()
    await daemon.stop()


def entry_process(port: int, control_port: int, folder: Path, profile: bool) -> None:
    """Run the entry on one core, with a profile if wanted."""
    os.sched_setaffinity(0, {max(os.sched_getaffinity(0))})
    limit_nng_threads()
    work = run_entry(port, control_port)
    if not profile:
        uvloop.run(work)
        return
    profiler = cProfile.Profile()
    profiler.runcall(uvloop.run, work)
    text = io.StringIO()
    pstats.Stats(profiler, stream=text).sort_stats("tottime").print_stats(25)
    (folder / "profile.txt").write_text(text.getvalue())


async def run_control(port: int, engine_ports: list[int]) -> None:
    """Answer polls with a fixed configuration, and bills at once."""
    rows = [
        AccountRow("desk", sha256(KEY.encode()).hexdigest(), ("small",), (), "question"),
        ClassRow("question", 0.9, 800, 60000),
        VersionRow("small", "1", 0.2),
    ]
    backends = tuple(
        BackendRecord(f"engine-{item}", 1, BackendKind.ENGINE, f"http://127.0.0.1:{item}",
                      "zone-1", "", (LoadedVersion("small", "1"),), ENGINE_SLOTS)
        for item in engine_ports
    )  # fmt: skip
    entries = tuple(RowEntry(row_key(row), 1, row) for row in rows)

    async def handle(_: str, message):
        if isinstance(message, messages.BillRequest):
            return messages.BillReply("control-1", "zone-1", len(message.bills))
        if message.applied_revision:
            # Longer than the poll asks for would count as a silent connection.
            await asyncio.sleep(message.wait_ms / 1000)
            return messages.PollReply(1, 1, 4000, (), 1, 1)
        return messages.PollReply(1, 1, 4000, entries, 1, 1, True, backends)

    codec = WireCodec("relay", "control-1", SECRET)
    server = RpcServer(f"tcp://127.0.0.1:{port}", codec, handle)
    await asyncio.Event().wait()
    await server.close()


def control_process(port: int, engine_ports: list[int]) -> None:
    """Run the control stand-in."""
    asyncio.run(run_control(port, engine_ports))


def engine_process(port: int, gap_s: float) -> None:
    """Run one stand-in engine."""
    uvloop.run(run_engine(port, gap_s))


def wait_for_port(port: int) -> None:
    """Wait until something listens."""
    for _ in range(200):
        try:
            socket.create_connection(("127.0.0.1", port)).close()
            return
        except OSError:
            time.sleep(0.05)
    raise SystemExit(f"nothing listens on port {port}")


def main() -> None:
    """Run the measurement and print one JSON line for each part."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, default=800)
    parser.add_argument("--tokens", type=int, default=250)
    parser.add_argument("--gap-s", type=float, default=TICK_S)
    parser.add_argument("--ramp-s", type=float, default=1.0)
    parser.add_argument("--engines", type=int, default=3)
    parser.add_argument("--profile", action="store_true")
    parser.add_argument("--folder", type=Path, required=True, help="empty scratch folder")
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    context = multiprocessing.get_context("spawn")
    engine_ports = [free_port() for _ in range(options.engines)]
    control_port, entry_port = free_port(), free_port()
    helpers = [
        *(context.Process(target=engine_process, args=(x, options.gap_s)) for x in engine_ports),
        context.Process(target=control_process, args=(control_port, engine_ports)),
    ]
    entry = context.Process(
        target=entry_process,
        args=(entry_port, control_port, options.folder, options.profile),
    )
    for process in (*helpers, entry):
        process.start()
    try:
        for port in (*engine_ports, entry_port):
            wait_for_port(port)
        time.sleep(1.0)
        load = (options.streams, options.tokens, options.ramp_s)
        print(json.dumps({"part": "direct"} | measure(engine_ports, *load)), flush=True)
        usage = psutil.Process(entry.pid)
        before = usage.cpu_times()
        idle_mb = usage.memory_info().rss / 1e6
        relayed = measure([entry_port], *load)
        after = usage.cpu_times()
        cpu_s = after.user + after.system - before.user - before.system
        relayed["entry_cpu_s"] = cpu_s
        relayed["entry_system_s"] = after.system - before.system
        relayed["entry_idle_mb"] = idle_mb
        relayed["entry_mb"] = usage.memory_info().rss / 1e6
        relayed["cpu_us_per_token"] = 1e6 * cpu_s / max(1, relayed["tokens"])
        print(json.dumps({"part": "relayed"} | relayed), flush=True)
    finally:
        entry.terminate()
        entry.join(timeout=20)
        for process in helpers:
            process.terminate()
        for process in helpers:
            process.join()


if __name__ == "__main__":
    main()
