"""Tests request/reply between daemons: refused frames, TLS, dead connections, many long polls.

The messages are arbitrary: ``BillRequest``, ``BillReply`` and ``TrialEnd`` only serve as content.
"""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
import trustme
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.msgpack import encode
from pynng import _aio

from baobabstream.errors.codes import CODE_TABLE, ResultCode, RunState
from baobabstream.errors.exceptions import PeerError
from baobabstream.settings.tls import PeerTlsFiles
from baobabstream.wire import codec as codec_module
from baobabstream.wire.codec import PROTOCOL_VERSION, WireCodec
from baobabstream.wire.messages import BillReply, BillRequest, ErrorReply, TrialEnd, TrialEndReply
from baobabstream.wire.rpc import RpcClient, await_operation
from baobabstream.wire.rpc_server import RpcServer
from baobabstream.wire.tls import PeerTls
from free_ports import free_port
from waiting import until

SECRET = "correct-horse-battery"
REPLY = BillReply("control-1", "zone-1", 0)


def make_codec(cluster="c", secret=SECRET, tls=None) -> WireCodec:
    """Return the codec of a host; all tests use one cluster name and secret by default."""
    return WireCodec(cluster, "host", secret, tls=tls)


async def reply_at_once(_sender, _message):
    """Handle a call by a fixed reply."""
    return REPLY


@asynccontextmanager
async def running_server(handler=reply_at_once, tls=None, port=None):
    """Run a server and yield its nng address."""
    port = port or free_port()
    server = RpcServer(f"tcp://127.0.0.1:{port}", make_codec(tls=tls), handler)
    try:
        yield f"tcp://127.0.0.1:{port}"
    finally:
        await server.close()


@asynccontextmanager
async def open_client(url, codec=None):
    """Yield a client for an nng address and close it."""
    client = RpcClient(url, codec or make_codec())
    try:
        yield client
    finally:
        client.close()


@pytest.mark.parametrize(
    ("codec", "code"),
    [
        (make_codec(cluster="other"), ResultCode.WRONG_CLUSTER),
        (make_codec(secret="another-secret-text"), ResultCode.PEER_UNAUTHENTICATED),
    ],
)
async def test_foreign_peer_is_refused_with_its_code(codec, code):
    """Guards against serving daemons of another cluster or without the secret."""
    senders = []

    async def handler(sender, _):
        senders.append(sender)
        return REPLY

    async with running_server(handler) as url, open_client(url, codec) as client:
        with pytest.raises(PeerError) as caught:
            await client.call(BillRequest(()), 5)
    assert caught.value.code is code
    assert not senders


def test_frame_that_is_nested_deeply_is_refused():
    """Guards against one frame whose decoding raises an error that no daemon expects."""
    # The body, which is the last element, consists of arrays of one element each.
    envelope = encode([PROTOCOL_VERSION, "c", "host", b"", {"wall_ms": 0, "counter": 0}, None])
    with pytest.raises(PeerError) as raised:
        make_codec().decode(envelope[:-1] + b"\x91" * 100_000 + b"\xc0")
    assert raised.value.code is ResultCode.MESSAGE_MALFORMED


def test_other_protocol_version_is_refused(monkeypatch):
    """Guards against decoding frames of another protocol version."""
    monkeypatch.setattr(codec_module, "PROTOCOL_VERSION", PROTOCOL_VERSION + 1)
    frame = make_codec().encode(REPLY)
    monkeypatch.undo()
    with pytest.raises(PeerError) as caught:
        make_codec().decode(frame)
    assert caught.value.code is ResultCode.WRONG_PROTOCOL_VERSION


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_decoder_refuses_random_bytes(frame):
    """Guards against a decoder that raises an error without a result code."""
    with pytest.raises(PeerError):
        make_codec().decode(frame)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_decoder_refuses_damaged_frames(data):
    """Guards against a changed byte that is accepted or raises an error without a code."""
    frame = bytearray(make_codec().encode(TrialEnd("f", "r", "host", True)))
    position = data.draw(st.integers(0, len(frame) - 1))
    frame[position] ^= data.draw(st.integers(1, 255))
    with pytest.raises(PeerError):
        make_codec().decode(bytes(frame))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.recursive(st.none() | st.integers(0, 2**40) | st.text(max_size=8), st.lists))
def test_decoder_refuses_unknown_message_with_valid_hmac(value):
    """Guards against accepting a body that is no message from a peer with the secret."""
    codec = make_codec()
    body = encode(value)
    time = codec._clock.now()
    proof = codec._compute_hmac("host", time, body)
    frame = encode([PROTOCOL_VERSION, "c", "host", proof, {"wall_ms": time.wall_ms,
                    "counter": time.counter}, value])  # fmt: skip
    with pytest.raises(PeerError) as caught:
        make_codec().decode(frame)
    assert caught.value.code is ResultCode.MESSAGE_MALFORMED


class Relay:
    """TCP relay to a port that can stop forwarding on its open connections.

    ``connection_count`` counts the connections that were opened. ``_silence_events`` has one event
    for each of them, which is set once nothing more is forwarded.
    """

    def __init__(self, port: int) -> None:
        self._target_port = port
        self._silence_events: set[asyncio.Event] = set()
        self._writers: list[asyncio.StreamWriter] = []
        self.connection_count = 0

    async def start(self) -> int:
        """Start to listen and return the port."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Drop all further data on the open connections without closing them."""
        for event in self._silence_events:
            event.set()

    async def _accept(self, reader, writer) -> None:
        """Connect to the target and forward data in both directions."""
        self.connection_count += 1
        silence = asyncio.Event()
        self._silence_events.add(silence)
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        self._writers += [writer, target_writer]
        with suppress(ConnectionError):
            await asyncio.gather(
                self._forward(reader, target_writer, silence),
                self._forward(target_reader, writer, silence),
            )

    async def _forward(self, reader, writer, silence) -> None:
        """Forward data in one direction until the end; drop it while the event is set."""
        while data := await reader.read(65536):
            if not silence.is_set():
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for writer in self._writers:
            writer.close()


async def test_silent_connection_is_replaced_by_the_next_call():
    """Guards against calls that keep failing after a connection was dropped without a reset."""
    async with running_server() as url:
        relay = Relay(int(url.rpartition(":")[2]))
        port = await relay.start()
        async with open_client(f"tcp://127.0.0.1:{port}") as client:
            assert await client.call(BillRequest(()), 5) == REPLY
            relay.silence()
            with pytest.raises(PeerError) as caught:
                await client.call(BillRequest(()), 0.2)
            assert caught.value.code is ResultCode.PEER_TIMEOUT
            assert await client.call(BillRequest(()), 5) == REPLY
            assert relay.connection_count == 2
        relay.close()


async def test_long_polls_do_not_occupy_all_workers():
    """Guards against votes and claims that wait until long polls of entry hosts end."""
    release = asyncio.Event()
    waiting_polls = []

    async def handler(_, message):
        if isinstance(message, BillRequest):
            waiting_polls.append(1)
            await release.wait()
            return REPLY
        return TrialEndReply()

    async with running_server(handler) as url, open_client(url) as client:
        polls = [asyncio.create_task(client.call(BillRequest(()), 30)) for _ in range(330)]
        await until(lambda: len(waiting_polls) == 330)
        reply = await client.call(TrialEnd("f", "r", "host", False), 5)
        assert reply == TrialEndReply()
        release.set()
        assert await asyncio.gather(*polls) == [REPLY] * 330


@pytest.mark.parametrize("failure", [ValueError("bug"), ErrorReply(9999, "from the future")])
async def test_failed_handler_and_unknown_code_leave_the_run_state_unknown(failure):
    """Guards against reporting a call as not run although its handler had started."""

    async def handler(_, __):
        if isinstance(failure, Exception):
            raise failure
        return failure

    async with running_server(handler) as url, open_client(url) as client:
        with pytest.raises(PeerError) as caught:
            await client.call(BillRequest(()), 5)
    assert CODE_TABLE[caught.value.code].run_state is RunState.UNKNOWN


async def test_invalid_address_raises_a_peer_error():
    """Guards against a mistyped address whose error has no result code."""
    async with open_client("tcp://not an address") as client:
        with pytest.raises(PeerError) as caught:
            await client.call(BillRequest(()), 1)
    assert caught.value.code is ResultCode.PEER_UNREACHABLE


async def swallow_cancellation() -> bytes:
    """Drop a cancellation, as pynng does if it arrives when the operation ends."""
    with suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    return b"reply"


async def test_dropped_cancellation_and_time_limit_still_take_effect():
    """Guards against a call without a time limit and a task that cannot be cancelled.

    Both are caused by a cancellation that pynng drops.
    """
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await await_operation(swallow_cancellation())
    task = asyncio.create_task(await_operation(swallow_cancellation()))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def write_tls_files(folder, authority, name) -> PeerTlsFiles:
    """Issue a certificate for a host name and write it, its key and the authority to a folder."""
    certificate = authority.issue_cert(name)
    paths = {kind: folder / f"{name}.{kind}" for kind in ("pem", "key", "ca")}
    certificate.private_key_pem.write_to_path(paths["key"])
    certificate.cert_chain_pems[0].write_to_path(paths["pem"])
    authority.cert_pem.write_to_path(paths["ca"])
    return PeerTlsFiles(certificate_file=paths["pem"], key_file=paths["key"], ca_file=paths["ca"])


async def test_tls_between_daemons_needs_the_same_authority_and_name(tmp_path):
    """Guards against TLS that encrypts but does not verify the identity of the peer."""
    own_authority, foreign_authority = trustme.CA(), trustme.CA()
    (tmp_path / "theirs").mkdir()
    own_files = write_tls_files(tmp_path, own_authority, "control-1")
    foreign_files = write_tls_files(tmp_path / "theirs", foreign_authority, "control-1")
    port = free_port()
    url = f"tcp://127.0.0.1:{port}"
    async with running_server(tls=PeerTls(own_files, {}), port=port):
        async with open_client(
            url, make_codec(tls=PeerTls(own_files, {url: "control-1"}))
        ) as client:
            assert await client.call(BillRequest(()), 5) == REPLY
        refused_tls = (
            PeerTls(own_files, {url: "control-2"}),
            PeerTls(foreign_files, {url: "control-1"}),
            None,
        )
        for tls in refused_tls:
            async with open_client(url, make_codec(tls=tls)) as client:
                with pytest.raises(PeerError):
                    await client.call(BillRequest(()), 0.3)


async def finish_within(operation, limit_s: float):
    """Return the finished task of an operation; fail if it takes longer than the limit.

    ``asyncio.timeout`` would wait for an operation that ignores its cancellation.
    """
    task = asyncio.ensure_future(operation)
    done, _ = await asyncio.wait({task}, timeout=limit_s)
    assert done, "the operation did not end"
    return task


async def never_reply(_sender, _message):
    """Handle a call without a reply in the time of a test."""
    await asyncio.sleep(60)


async def test_call_ends_when_nng_does_not_cancel(monkeypatch):
    """Guards against a call that never ends after its time limit.

    nng sometimes ignores the cancellation of an operation.
    """
    async with running_server(never_reply) as url, open_client(url) as client:
        monkeypatch.setattr(_aio, "lib", _NoCancellation(_aio.lib))
        task = await finish_within(client.call(BillRequest(()), 0.2), 3.0)
        monkeypatch.undo()
        assert task.exception().code is ResultCode.PEER_TIMEOUT


async def test_cancelled_call_ends_when_nng_does_not_cancel(monkeypatch):
    """Guards against a daemon that cannot stop because a cancelled call does not end."""
    async with running_server(never_reply) as url, open_client(url) as client:
        monkeypatch.setattr(_aio, "lib", _NoCancellation(_aio.lib))
        task = asyncio.create_task(client.call(BillRequest(()), 0.5))
        await asyncio.sleep(0.1)
        task.cancel()
        wait_task = await finish_within(asyncio.wait({task}), 3.0)
        monkeypatch.undo()
        assert wait_task.done()
        assert task.cancelled()


async def test_server_closes_when_nng_does_not_cancel(monkeypatch):
    """Guards against a daemon that cannot stop because a waiting worker does not end."""
    server = RpcServer(f"tcp://127.0.0.1:{free_port()}", make_codec(), never_reply)
    await asyncio.sleep(0.05)
    monkeypatch.setattr(_aio, "lib", _NoCancellation(_aio.lib))
    await finish_within(server.close(), 3.0)


class _NoCancellation:
    """nng's C functions, with a cancellation that has no effect."""

    def __init__(self, lib) -> None:
        self._lib = lib

    def __getattr__(self, name: str):
        return getattr(self._lib, name)

    def nng_aio_cancel(self, _) -> None:
        return


@pytest.mark.parametrize("bad_reply", [BillReply("c", "z", 2**70), BillReply("\udcff", "z", 0)])
async def test_reply_that_cannot_be_encoded_fails_only_its_call(bad_reply):
    """Guards against workers that end one by one, until the server answers nobody."""
    replies = [bad_reply] * 40

    async def handle(_sender, _message):
        return replies.pop() if replies else REPLY

    async with running_server(handle) as url, open_client(url) as client:
        for _ in range(40):
            with pytest.raises(PeerError) as raised:
                await client.call(BillRequest(()), 2.0)
            assert raised.value.code is ResultCode.PEER_FAILED
        assert await client.call(BillRequest(()), 2.0) == REPLY
