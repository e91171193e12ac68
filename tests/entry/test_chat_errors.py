"""Chat requests: OpenAI client, refusals, sessions, invalid input, billing and planned stops."""

import asyncio
import json
import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from openai import APIError, APIStatusError, AsyncOpenAI

from baobabstream.entry.chat_models import ChatBody, decode_chat_body
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.wire.rows import VersionRow, VersionState
from entry_harness import API_KEY, CHAT_BODY, FakeServer, running_entry, wait_until

FULL_TEXT = "t0 t1 t2 t3 t4 "  # text of a complete answer


async def test_openai_client() -> None:
    """Guards against answers, usage, errors or model lists that the OpenAI client cannot read."""
    async with running_entry(FakeServer("a")) as entry:
        client = AsyncOpenAI(api_key=API_KEY, base_url=f"{entry.url}/v1", max_retries=0)
        messages = CHAT_BODY["messages"]
        completion = await client.chat.completions.create(model="small", messages=messages)
        assert (completion.choices[0].message.content, completion.usage.completion_tokens) == (
            FULL_TEXT,
            5,
        )
        stream = await client.chat.completions.create(
            model="auto", messages=messages, stream=True, stream_options={"include_usage": True}
        )
        chunks = [chunk async for chunk in stream]
        assert "".join(chunk.choices[0].delta.content for chunk in chunks[:-1]) == FULL_TEXT
        assert (chunks[-1].choices, chunks[-1].usage.completion_tokens) == ([], 5)
        assert [model.id async for model in client.models.list()] == ["large", "small"]
        with pytest.raises(APIStatusError) as error_info:
            await client.chat.completions.create(model="none", messages=messages)
        assert (error_info.value.status_code, error_info.value.body["code"]) == (404, 1006)
        await client.close()


async def test_invalid_requests_have_result_codes() -> None:
    """Guards against invalid input that gets no result code or breaks later requests."""
    limits = {"max_body_bytes": 2048, "body_timeout_s": 0.2}
    async with running_entry(FakeServer("a"), **limits) as entry:
        url = f"{entry.url}/v1/chat/completions"
        cases = [
            (b"{", {}, ResultCode.MALFORMED_BODY),
            (b'{"messages": 5}', {}, ResultCode.MALFORMED_BODY),
            (json.dumps(CHAT_BODY | {"max_tokens": "9"}), {}, ResultCode.MALFORMED_BODY),
            (json.dumps(CHAT_BODY | {"n": 2}), {}, ResultCode.MALFORMED_BODY),
            (b"[" * 2000, {}, ResultCode.MALFORMED_BODY),
            (b"x" * 4096, {}, ResultCode.BODY_TOO_LARGE),
            (json.dumps(CHAT_BODY), {"X-Work-Class": "no"}, ResultCode.UNKNOWN_CLASS),
            (json.dumps(CHAT_BODY), {"Idempotency-Key": "k" * 300}, ResultCode.MALFORMED_HEADER),
            (json.dumps(CHAT_BODY), {"X-Session-Token": "x.y"}, ResultCode.SESSION_INVALID),
            (json.dumps(CHAT_BODY), {"Authorization": "Bearer no"}, ResultCode.UNAUTHENTICATED),
        ]
        for body, headers, code in cases:
            async with entry.session.post(url, data=body, headers=headers) as response:
                error = (await response.json())["error"]
            assert (error["code"], error["ran"]) == (code, "no")

        async def stream_slow_body():
            """Yield a body that takes longer than its time limit."""
            yield b"{"
            await asyncio.sleep(5)

        async with entry.session.post(url, data=stream_slow_body()) as response:
            assert (await response.json())["error"]["code"] == ResultCode.BODY_TOO_SLOW
        assert (await entry.chat())[0] == 200


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=8,
)
BODY_FIELDS = st.sampled_from(["model", "messages", "stream", "max_tokens", "n", "stream_options"])


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.binary(max_size=64)
    | st.dictionaries(BODY_FIELDS, JSON_VALUES).map(lambda body: json.dumps(body).encode())
)
def test_decoder_accepts_or_refuses(raw_body: bytes) -> None:
    """Guards against input that makes the decoder fail without a result code."""
    outcome: ChatBody | ResultCode
    try:
        outcome = decode_chat_body(raw_body)
        json.dumps(outcome.engine_body())
    except RequestRefused as error:
        outcome = error.code
    assert isinstance(outcome, ChatBody) or outcome is ResultCode.MALFORMED_BODY


async def test_session_token_is_bound_to_account_and_version() -> None:
    """Guards against session tokens that lose their pin, or work for the wrong caller or version.

    A token must be refused for another account, and once its model version is withdrawn.
    """
    server = FakeServer("a")
    async with running_entry(server) as entry:
        async with entry.post_chat(headers={"X-Session-Token": "new"}) as response:
            token = response.headers["X-Session-Token"]
        pinned_headers = {"X-Session-Token": token}
        assert (await entry.chat(headers=pinned_headers))[0] == 200
        other_account = pinned_headers | {"Authorization": "Bearer crew-key"}
        _, error_document = await entry.chat(headers=other_account)
        assert error_document["error"]["code"] == ResultCode.SESSION_FOREIGN
        entry.control.put_row(VersionRow("small", "1", 0.2, state=VersionState.WITHDRAWN))
        await wait_until(lambda: entry.daemon.view.revision == entry.control.revision)
        _, error_document = await entry.chat(headers=pinned_headers)
        assert error_document["error"]["code"] == ResultCode.SESSION_VERSION_WITHDRAWN


async def test_bill_identity_combines_key_and_body() -> None:
    """Guards against one bill for two bodies under one key, and two bills for a repeat."""
    async with running_entry(FakeServer("a")) as entry:
        headers = {"Idempotency-Key": "k"}
        for max_tokens in (7, 7, 9):
            await entry.chat(headers=headers, max_tokens=max_tokens)
        bill_identities = [bill.request_id for bill in entry.control.bills["control-0"]]
        assert len(bill_identities) == 3
        assert len(set(bill_identities)) == 2


async def test_missing_bill_copy_delays_the_answer_and_is_counted() -> None:
    """Guards against an unfinished answer or a lost bill when a control host stores no bills."""
    async with running_entry(FakeServer("a"), bill_sync_timeout_s=0.2) as entry:
        entry.control.hosts_refusing_bills.add("control-1")
        assert (await entry.chat())[0] == 200
        assert entry.daemon.bill_sender.timed_out_bills == 1
        stop_task = asyncio.create_task(entry.stop())
        await wait_until(lambda: entry.daemon.in_flight_requests.closes_connections)
        assert not stop_task.done()
        entry.control.hosts_refusing_bills.clear()
        await stop_task
        assert len(entry.control.bills["control-1"]) == 1


async def test_caller_that_does_not_read_is_disconnected() -> None:
    """Guards against memory filled by callers that do not read their answers."""
    server = FakeServer("a", token_count=200_000)
    async with running_entry(server, caller_write_timeout_s=0.2) as entry:
        body = json.dumps(CHAT_BODY | {"stream": True}).encode()
        request_head = (
            f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {API_KEY}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(("127.0.0.1", int(entry.url.rpartition(":")[2]))) as caller:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.sendall(request_head.encode() + body)
            await wait_until(lambda: server.cancelled_count == 1, 10.0)
        assert not entry.control.bills["control-0"]


async def test_planned_stop_waits_for_running_requests() -> None:
    """Guards against a stop that breaks long streams or keeps connections open."""
    server = FakeServer("a")
    async with running_entry(server, drain_notice_s=0.1) as entry:
        server.may_answer.clear()

        async def read_stream() -> bytes:
            """Return the complete body of a streamed answer."""
            async with entry.post_chat(stream=True) as response:
                return await response.read()

        stream_task = asyncio.create_task(read_stream())
        await wait_until(lambda: server.received_headers)
        stop_task = asyncio.create_task(entry.stop())
        await wait_until(lambda: entry.daemon.in_flight_requests.closes_connections)
        async with entry.session.get(f"{entry.url}/readyz") as ready_response:
            assert (ready_response.status, ready_response.headers["Connection"]) == (503, "close")
        await wait_until(lambda: refuses_connections(entry.url))
        assert not stop_task.done()
        server.may_answer.set()
        assert (await stream_task).endswith(b"data: [DONE]\n\n")
        await stop_task


def refuses_connections(url: str) -> bool:
    """Return whether nothing listens at the port of a URL."""
    try:
        socket.create_connection(("127.0.0.1", int(url.rpartition(":")[2]))).close()
    except ConnectionRefusedError:
        return True
    return False


async def test_planned_stop_under_load_completes_all_requests() -> None:
    """Guards against requests that fail when callers send until the drain notice ends."""
    stream_outcomes: list[bool] = []
    async with running_entry(FakeServer("a"), FakeServer("b"), drain_notice_s=0.3) as entry:

        async def run_caller() -> None:
            """Send requests until the daemon closes its connections."""
            while not entry.daemon.in_flight_requests.closes_connections:
                async with entry.post_chat(stream=True) as response:
                    stream_outcomes.append((await response.read()).endswith(b"data: [DONE]\n\n"))

        callers = [asyncio.create_task(run_caller()) for _ in range(8)]
        await wait_until(lambda: len(stream_outcomes) > 40)
        await entry.stop()
        await asyncio.gather(*callers)
        assert all(stream_outcomes)
        assert len(entry.control.bills["control-0"]) == len(stream_outcomes)


async def test_error_inside_a_stream_reaches_the_openai_client() -> None:
    """Guards against a stream that ends without an error when its answer is given up."""
    server = FakeServer("a", fault_after_tokens=2, fault="end")
    async with running_entry(server) as entry:
        client = AsyncOpenAI(api_key=API_KEY, base_url=f"{entry.url}/v1", max_retries=0)
        stream = await client.chat.completions.create(
            model="auto", messages=CHAT_BODY["messages"], stream=True
        )
        with pytest.raises(APIError) as error_info:
            async for _ in stream:
                pass
        assert error_info.value.body["ran"] == "unknown"
        await client.close()


def test_caller_sockets_have_keepalive() -> None:
    """Guards against connections of vanished callers that stay open for hours."""
    with open_listening_socket("127.0.0.1", 0, 128) as listener:
        assert listener.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        assert listener.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE) <= 30


async def test_caller_disconnecting_during_a_stream_is_billed_for_delivered_tokens() -> None:
    """Guards against callers that avoid the bill by disconnecting just before the last part."""
    server = FakeServer("a", fault_after_tokens=3, fault="stall")
    async with running_entry(server, gap_timeout_s=20.0) as entry:
        async with entry.post_chat(stream=True) as response:
            while b'"content"' not in await response.content.readline():
                pass
            response.close()
        await wait_until(lambda: entry.control.bills["control-0"])
        bills = list(entry.control.bills["control-0"])
        assert [bill.output_tokens for bill in bills] == [3]
