"""Request/reply between daemons: refusals, TLS, silent connections, many long polls."""

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
from baobabstream.wire.rpc import RpcClient, RpcServer, await_operation
from baobabstream.wire.tls import PeerTls
from free_ports import free_port
from waiting import until

SECRET = "correct-horse-battery"
REPLY = BillReply("control-1", "zone-1", 0)


def codec(cluster="c", secret=SECRET, tls=None) -> WireCodec:
    return WireCodec(cluster, "host", secret, tls=tls)


async def answer(_sender, _message):
    return REPLY


@asynccontextmanager
async def server(handler=answer, tls=None, port=None):
    port = port or free_port()
    served = RpcServer(f"tcp://127.0.0.1:{port}", codec(tls=tls), handler)
    try:
        yield f"tcp://127.0.0.1:{port}"
    finally:
        await served.close()


@asynccontextmanager
async def client(url, own_codec=None):
    caller = RpcClient(url, own_codec or codec())
    try:
        yield caller
    finally:
        caller.close()


@pytest.mark.parametrize(
    ("own_codec", "code"),
    [
        (codec(cluster="other"), ResultCode.WRONG_CLUSTER),
        (codec(secret="another-secret-text"), ResultCode.PEER_UNAUTHENTICATED),
    ],
)
async def test_foreign_peer_is_refused_with_its_code(own_codec, code):
    """Guards against daemons of another cluster, or without the secret, being served."""
    handled = []

    async def handler(sender, _):
        handled.append(sender)
        return REPLY

    async with server(handler) as url, client(url, own_codec) as caller:
        with pytest.raises(PeerError) as caught:
            await caller.call(BillRequest(()), 5)
    assert caught.value.code is code
    assert not handled


def test_other_protocol_version_is_refused(monkeypatch):
    """Guards against frames of another version being taken for this one's."""
    monkeypatch.setattr(codec_module, "PROTOCOL_VERSION", PROTOCOL_VERSION + 1)
    frame = codec().encode(REPLY)
    monkeypatch.undo()
    with pytest.raises(PeerError) as caught:
        codec().decode(frame)
    assert caught.value.code is ResultCode.WRONG_PROTOCOL_VERSION


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(max_size=200))
def test_decoder_refuses_any_bytes(frame):
    """Guards against a decoder that raises anything but a numbered refusal."""
    with pytest.raises(PeerError):
        codec().decode(frame)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.data())
def test_decoder_refuses_damaged_frames(data):
    """Guards against a changed byte that passes, or that raises something else."""
    frame = bytearray(codec().encode(TrialEnd("f", "r", "host", True)))
    position = data.draw(st.integers(0, len(frame) - 1))
    frame[position] ^= data.draw(st.integers(1, 255))
    with pytest.raises(PeerError):
        codec().decode(bytes(frame))


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.recursive(st.none() | st.integers(0, 2**40) | st.text(max_size=8), st.lists))
def test_decoder_refuses_authentic_nonsense(value):
    """Guards against a body of unknown shape from a peer that knows the secret."""
    sender = codec()
    body = encode(value)
    time = sender._clock.now()
    proof = sender._compute_hmac("host", time, body)
    frame = encode([PROTOCOL_VERSION, "c", "host", proof, {"wall_ms": time.wall_ms,
                    "counter": time.counter}, value])  # fmt: skip
    with pytest.raises(PeerError) as caught:
        codec().decode(frame)
    assert caught.value.code is ResultCode.MESSAGE_MALFORMED


class Relay:
    """TCP relay that can stop forwarding on its open connections for good."""

    def __init__(self, port: int) -> None:
        self._target = port
        self._silent: set[asyncio.Event] = set()
        self.connections = 0

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Drop everything on the present connections, which stay open."""
        for event in self._silent:
            event.set()

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        silent = asyncio.Event()
        self._silent.add(silent)
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._target)
        with suppress(ConnectionError):
            await asyncio.gather(
                self._pump(reader, far_writer, silent), self._pump(far_reader, writer, silent)
            )

    async def _pump(self, reader, writer, silent) -> None:
        while data := await reader.read(65536):
            if not silent.is_set():
                writer.write(data)
                await writer.drain()

    def close(self) -> None:
        self._server.close()


async def test_silent_connection_is_replaced_by_the_next_call():
    """Guards against a peer that stays lost because its connection died without a sign."""
    async with server() as url:
        relay = Relay(int(url.rpartition(":")[2]))
        port = await relay.start()
        async with client(f"tcp://127.0.0.1:{port}") as caller:
            assert await caller.call(BillRequest(()), 5) == REPLY
            relay.silence()
            with pytest.raises(PeerError) as caught:
                await caller.call(BillRequest(()), 0.2)
            assert caught.value.code is ResultCode.PEER_TIMEOUT
            assert await caller.call(BillRequest(()), 5) == REPLY
            assert relay.connections == 2
        relay.close()


async def test_long_polls_do_not_hold_all_workers():
    """Guards against votes and claims that wait behind the entry hosts' long polls."""
    release = asyncio.Event()
    held = []

    async def handler(_, message):
        if isinstance(message, BillRequest):
            held.append(1)
            await release.wait()
            return REPLY
        return TrialEndReply()

    async with server(handler) as url, client(url) as caller:
        polls = [asyncio.create_task(caller.call(BillRequest(()), 30)) for _ in range(330)]
        await until(lambda: len(held) == 330)
        reply = await caller.call(TrialEnd("f", "r", "host", False), 5)
        assert reply == TrialEndReply()
        release.set()
        assert await asyncio.gather(*polls) == [REPLY] * 330


@pytest.mark.parametrize("failure", [ValueError("bug"), ErrorReply(9999, "from the future")])
async def test_failed_handler_and_unknown_code_leave_the_run_state_unknown(failure):
    """Guards against a call that is called not run although its handler had begun."""

    async def handler(_, __):
        if isinstance(failure, Exception):
            raise failure
        return failure

    async with server(handler) as url, client(url) as caller:
        with pytest.raises(PeerError) as caught:
            await caller.call(BillRequest(()), 5)
    assert CODE_TABLE[caught.value.code].run_state is RunState.UNKNOWN


async def test_unusable_address_is_a_numbered_error():
    """Guards against a mistyped address that ends the caller's task."""
    async with client("tcp://not an address") as caller:
        with pytest.raises(PeerError) as caught:
            await caller.call(BillRequest(()), 1)
    assert caught.value.code is ResultCode.PEER_UNREACHABLE


async def swallow_cancellation() -> bytes:
    """Behave as pynng does when a cancellation meets the completion."""
    with suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    return b"reply"


async def test_swallowed_cancellation_and_time_limit_still_take_effect():
    """Guards against a call that waits for ever, and against a task that cannot be ended."""
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await await_operation(swallow_cancellation())
    task = asyncio.create_task(await_operation(swallow_cancellation()))
    await asyncio.sleep(0)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def tls_files(folder, authority, name) -> PeerTlsFiles:
    certificate = authority.issue_cert(name)
    paths = {kind: folder / f"{name}.{kind}" for kind in ("pem", "key", "ca")}
    certificate.private_key_pem.write_to_path(paths["key"])
    certificate.cert_chain_pems[0].write_to_path(paths["pem"])
    authority.cert_pem.write_to_path(paths["ca"])
    return PeerTlsFiles(certificate_file=paths["pem"], key_file=paths["key"], ca_file=paths["ca"])


async def test_tls_between_daemons_needs_the_same_authority_and_name(tmp_path):
    """Guards against TLS that encrypts without checking who the peer is."""
    ours, theirs = trustme.CA(), trustme.CA()
    (tmp_path / "theirs").mkdir()
    own = tls_files(tmp_path, ours, "control-1")
    foreign = tls_files(tmp_path / "theirs", theirs, "control-1")
    port = free_port()
    url = f"tcp://127.0.0.1:{port}"
    async with server(tls=PeerTls(own, {}), port=port):
        async with client(url, codec(tls=PeerTls(own, {url: "control-1"}))) as caller:
            assert await caller.call(BillRequest(()), 5) == REPLY
        refused = (PeerTls(own, {url: "control-2"}), PeerTls(foreign, {url: "control-1"}), None)
        for tls in refused:
            async with client(url, codec(tls=tls)) as caller:
                with pytest.raises(PeerError):
                    await caller.call(BillRequest(()), 0.3)


async def within(operation, limit_s: float):
    """Return what an operation gives; fails if it ignores its end, as pynng's may."""
    task = asyncio.ensure_future(operation)
    done, _ = await asyncio.wait({task}, timeout=limit_s)
    assert done, "the operation did not end"
    return task


async def silent(_sender, _message):
    await asyncio.sleep(60)


async def test_call_ends_when_nng_does_not_cancel(monkeypatch):
    """Guards against a call without end: nng at times ignores the cancellation of an operation."""
    async with server(silent) as url, client(url) as caller:
        monkeypatch.setattr(_aio, "lib", _NoCancel(_aio.lib))
        task = await within(caller.call(BillRequest(()), 0.2), 3.0)
        monkeypatch.undo()
        assert task.exception().code is ResultCode.PEER_TIMEOUT


async def test_cancelled_call_ends_when_nng_does_not_cancel(monkeypatch):
    """Guards against a daemon that cannot stop because of a call to a peer."""
    async with server(silent) as url, client(url) as caller:
        monkeypatch.setattr(_aio, "lib", _NoCancel(_aio.lib))
        task = asyncio.create_task(caller.call(BillRequest(()), 0.5))
        await asyncio.sleep(0.1)
        task.cancel()
        ended = await within(asyncio.wait({task}), 3.0)
        monkeypatch.undo()
        assert ended.done()
        assert task.cancelled()


async def test_server_closes_when_nng_does_not_cancel(monkeypatch):
    """Guards against a daemon that cannot stop because of a worker that waits for a call."""
    served = RpcServer(f"tcp://127.0.0.1:{free_port()}", codec(), silent)
    await asyncio.sleep(0.05)
    monkeypatch.setattr(_aio, "lib", _NoCancel(_aio.lib))
    await within(served.close(), 3.0)


class _NoCancel:
    """nng's functions, but for the cancellation, which has no effect."""

    def __init__(self, lib) -> None:
        self._lib = lib

    def __getattr__(self, name: str):
        return getattr(self._lib, name)

    def nng_aio_cancel(self, _) -> None:
        return
