"""Stock client, refusals, sessions, invalid input and billing of chat requests."""

import asyncio
import json
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from openai import APIError, APIStatusError, AsyncOpenAI

from baobabstream.entry.chat_models import ChatBody, decode_chat_body
from baobabstream.entry.listening_socket import open_listening_socket
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.wire.rows import VersionRow, VersionState
from entry_harness import CHAT, KEY, FakeServer, harness, until

WHOLE = "t0 t1 t2 t3 t4 "


async def test_stock_client() -> None:
    """Guards against answers, usage, errors or model lists that a stock client cannot read."""
    async with harness(FakeServer("a")) as entry:
        client = AsyncOpenAI(api_key=KEY, base_url=f"{entry.url}/v1", max_retries=0)
        messages = CHAT["messages"]
        whole = await client.chat.completions.create(model="small", messages=messages)
        assert (whole.choices[0].message.content, whole.usage.completion_tokens) == (WHOLE, 5)
        stream = await client.chat.completions.create(
            model="auto", messages=messages, stream=True, stream_options={"include_usage": True}
        )
        chunks = [chunk async for chunk in stream]
        assert "".join(chunk.choices[0].delta.content for chunk in chunks[:-1]) == WHOLE
        assert (chunks[-1].choices, chunks[-1].usage.completion_tokens) == ([], 5)
        assert [model.id async for model in client.models.list()] == ["large", "small"]
        with pytest.raises(APIStatusError) as raised:
            await client.chat.completions.create(model="none", messages=messages)
        assert (raised.value.status_code, raised.value.body["code"]) == (404, 1006)
        await client.close()


async def test_invalid_requests_have_numbered_errors() -> None:
    """Guards against invalid input that gets no code or harms later requests."""
    limits = {"max_body_bytes": 2048, "body_timeout_s": 0.2}
    async with harness(FakeServer("a"), **limits) as entry:
        url = f"{entry.url}/v1/chat/completions"
        cases = [
            (b"{", {}, ResultCode.MALFORMED_BODY),
            (b'{"messages": 5}', {}, ResultCode.MALFORMED_BODY),
            (json.dumps(CHAT | {"max_tokens": "9"}), {}, ResultCode.MALFORMED_BODY),
            (json.dumps(CHAT | {"n": 2}), {}, ResultCode.MALFORMED_BODY),
            (b"[" * 2000, {}, ResultCode.MALFORMED_BODY),
            (b"x" * 4096, {}, ResultCode.BODY_TOO_LARGE),
            (json.dumps(CHAT), {"X-Work-Class": "no"}, ResultCode.UNKNOWN_CLASS),
            (json.dumps(CHAT), {"Idempotency-Key": "k" * 300}, ResultCode.MALFORMED_HEADER),
            (json.dumps(CHAT), {"X-Session-Token": "x.y"}, ResultCode.SESSION_INVALID),
            (json.dumps(CHAT), {"Authorization": "Bearer no"}, ResultCode.UNAUTHENTICATED),
        ]
        for body, headers, code in cases:
            async with entry.session.post(url, data=body, headers=headers) as response:
                error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == (code, "no")

        async def slow_body():
            yield b"{"
            await asyncio.sleep(5)

        async with entry.session.post(url, data=slow_body()) as response:
            assert (await response.json())["error"]["code"] == ResultCode.BODY_TOO_SLOW
        assert (await entry.answer())[0] == 200


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
FIELDS = st.sampled_from(["model", "messages", "stream", "max_tokens", "n", "stream_options"])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.binary(max_size=64) | st.dictionaries(FIELDS, JSON).map(lambda x: json.dumps(x).encode()))
def test_decoder_accepts_or_refuses(raw: bytes) -> None:
    """Guards against input that makes the decoder fail without a code."""
    outcome: ChatBody | ResultCode
    try:
        outcome = decode_chat_body(raw)
        json.dumps(outcome.engine_body())
    except RequestRefused as refused:
        outcome = refused.code
    assert isinstance(outcome, ChatBody) or outcome is ResultCode.MALFORMED_BODY


async def test_session_pins() -> None:
    """Guards against pins that are lost, borrowed, forged or outlive their version."""
    server = FakeServer("a")
    async with harness(server) as entry:
        async with entry.ask(headers={"X-Session-Token": "new"}) as response:
            token = response.headers["X-Session-Token"]
        pinned = {"X-Session-Token": token}
        assert (await entry.answer(headers=pinned))[0] == 200
        foreign = pinned | {"Authorization": "Bearer crew-key"}
        _, refused = await entry.answer(headers=foreign)
        assert refused["error"]["code"] == ResultCode.SESSION_FOREIGN
        entry.control.put(VersionRow("small", "1", 0.2, state=VersionState.WITHDRAWN))
        await until(lambda: entry.daemon.view.revision == entry.control.revision)
        _, refused = await entry.answer(headers=pinned)
        assert refused["error"]["code"] == ResultCode.SESSION_VERSION_WITHDRAWN


async def test_bill_identity_joins_key_and_body() -> None:
    """Guards against one bill for two bodies under one key, and two bills for a resend."""
    async with harness(FakeServer("a")) as entry:
        headers = {"Idempotency-Key": "k"}
        for limit in (7, 7, 9):
            await entry.answer(headers=headers, max_tokens=limit)
        names = [bill.request_id for bill in entry.control.bills["control-0"]]
        assert len(names) == 3
        assert len(set(names)) == 2


async def test_missing_copy_delays_the_last_part_then_raises_an_alarm() -> None:
    """Guards against an answer held back, or a bill forgotten, when one control host is lost."""
    async with harness(FakeServer("a"), bill_sync_timeout_s=0.2) as entry:
        entry.control.bills_refused.add("control-1")
        assert (await entry.answer())[0] == 200
        assert entry.daemon.bill_sender.alarms == 1
        stopping = asyncio.create_task(entry.stop())
        await until(lambda: entry.daemon.in_flight_requests.closes_connections)
        assert not stopping.done()
        entry.control.bills_refused.clear()
        await stopping
        assert len(entry.control.bills["control-1"]) == 1


async def test_caller_that_does_not_read_is_cut() -> None:
    """Guards against memory filled by callers that do not read their answers."""
    server = FakeServer("a", tokens=200_000)
    async with harness(server, caller_write_timeout_s=0.2) as entry:
        body = json.dumps(CHAT | {"stream": True}).encode()
        head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(("127.0.0.1", int(entry.url.rpartition(":")[2]))) as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.sendall(head.encode() + body)
            await until(lambda: server.cancelled == 1, 10.0)
        assert not entry.control.bills["control-0"]


async def test_planned_stop_cuts_no_request() -> None:
    """Guards against a stop that cuts long streams or keeps connections open."""
    server = FakeServer("a")
    async with harness(server, drain_notice_s=0.1) as entry:
        server.gate.clear()

        async def read() -> bytes:
            async with entry.ask(stream=True) as response:
                return await response.read()

        long_stream = asyncio.create_task(read())
        await until(lambda: server.seen)
        stopping = asyncio.create_task(entry.stop())
        await until(lambda: entry.daemon.in_flight_requests.closes_connections)
        async with entry.session.get(f"{entry.url}/readyz") as ready:
            assert (ready.status, ready.headers["Connection"]) == (503, "close")
        await until(lambda: refuses_connections(entry.url))
        assert not stopping.done()
        server.gate.set()
        assert (await long_stream).endswith(b"data: [DONE]\n\n")
        await stopping


def refuses_connections(url: str) -> bool:
    try:
        socket.create_connection(("127.0.0.1", int(url.rpartition(":")[2]))).close()
    except ConnectionRefusedError:
        return True
    return False


async def test_planned_stop_under_load_loses_nothing() -> None:
    """Guards against requests that are cut while callers keep sending until the notice ends."""
    outcomes: list[bool] = []
    async with harness(FakeServer("a"), FakeServer("b"), drain_notice_s=0.3) as entry:

        async def caller() -> None:
            while not entry.daemon.in_flight_requests.closes_connections:
                async with entry.ask(stream=True) as response:
                    outcomes.append((await response.read()).endswith(b"data: [DONE]\n\n"))

        callers = [asyncio.create_task(caller()) for _ in range(8)]
        await until(lambda: len(outcomes) > 40)
        await entry.stop()
        await asyncio.gather(*callers)
        assert all(outcomes)
        assert len(entry.control.bills["control-0"]) == len(outcomes)


async def test_error_inside_a_stream_reaches_a_stock_client() -> None:
    """Guards against a stream that ends silently when its answer is given up halfway."""
    server = FakeServer("a", stop_after=2, stop="end")
    async with harness(server) as entry:
        client = AsyncOpenAI(api_key=KEY, base_url=f"{entry.url}/v1", max_retries=0)
        stream = await client.chat.completions.create(
            model="auto", messages=CHAT["messages"], stream=True
        )
        with pytest.raises(APIError) as raised:
            async for _ in stream:
                pass
        assert raised.value.body["ran"] == "unknown"
        await client.close()


def test_caller_sockets_have_keepalive() -> None:
    """Guards against connections of vanished callers that stay open for hours."""
    with open_listening_socket("127.0.0.1", 0) as listener:
        assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 30


async def test_caller_that_leaves_in_mid_stream_is_billed_for_what_it_got() -> None:
    """Guards against callers that close just before the last part and never pay."""
    server = FakeServer("a", stop_after=3, stop="stall")
    async with harness(server, gap_timeout_s=20.0) as entry:
        async with entry.ask(stream=True) as response:
            while b'"content"' not in await response.content.readline():
                pass
            response.close()
        await until(lambda: entry.control.bills["control-0"])
        bills = list(entry.control.bills["control-0"])
        assert [bill.output_tokens for bill in bills] == [3]
