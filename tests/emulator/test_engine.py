"""The stand-in engine behaves as the pages promise; the other suites rely on it."""

import asyncio
import json
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError
from aiohttp.test_utils import TestClient, TestServer

from baobabstream.emulator.answers import answer_text, answer_word, prompt_seed
from baobabstream.emulator.engine import EngineApp
from baobabstream.emulator.engine_options import CRASH_MARKER, EngineOptions
from baobabstream.emulator.faults import Faults
from baobabstream.wire.rows import LoadedVersion
from waiting import until

QUESTION = [{"role": "user", "content": "Is the gate greased?"}]
SMALL = LoadedVersion("small", "1")


@asynccontextmanager
async def engine(crash=lambda: None, **options):
    base = {"first_token_s": 0.0, "token_gap_s": 0.001, "load_s": 0.0} | options
    app = EngineApp(EngineOptions("e", "127.0.0.1", 1, "zone-a", (SMALL,), **base), crash)
    async with TestClient(TestServer(app.application(), handler_cancellation=True)) as client:
        yield app, client


async def ask(client, tokens=6, identity="r.1", messages=QUESTION, resume=0, priority=0):
    body = {"model": "small", "messages": messages, "max_tokens": tokens, "stream": True}
    headers = {
        "X-Request-Id": identity,
        "X-Model-Version": "1",
        "X-Resume-Tokens": str(resume),
        "X-Priority": str(priority),
    }
    async with client.post("/v1/chat/completions", json=body, headers=headers) as answer:
        lines = (await answer.read()).decode().split("\n\n")
        events = [line.removeprefix("data: ") for line in lines if line]
        return answer, events


def text_of(events):
    chunks = [json.loads(event) for event in events if event != "[DONE]"]
    return "".join(item["choices"][0]["delta"]["content"] for item in chunks)


async def test_answer_and_identity_are_those_of_the_request():
    """Guards against tests that cannot tell whose answer a caller got."""
    async with engine() as (_, client):
        answer, events = await ask(client)
    assert answer.headers["X-Request-Id"] == "r.1"
    assert {json.loads(event)["id"] for event in events[:-1]} == {"chatcmpl-r.1"}
    assert text_of(events) == answer_text(QUESTION, 6)
    assert events[-1] == "[DONE]"


async def test_resume_continues_the_same_answer():
    """Guards against a resumed stream that repeats or skips tokens."""
    async with engine() as (_, client):
        _, events = await ask(client, resume=4)
    expected = [answer_word(prompt_seed(QUESTION), index) for index in (4, 5)]
    assert text_of(events) == "".join(expected)


async def test_higher_priority_enters_a_free_slot_first():
    """Guards against an engine that ignores X-Priority."""
    finished = []
    async with engine(slots=1) as (app, client):

        async def one(identity, priority):
            await ask(client, identity=identity, priority=priority)
            finished.append(identity)

        tasks = [asyncio.create_task(one("first", 0))]
        await until(lambda: app.batch.in_flight)
        tasks += [asyncio.create_task(one("low", 0)), asyncio.create_task(one("high", 5))]
        await asyncio.gather(*tasks)
    assert finished == ["first", "high", "low"]


async def test_cancelled_stream_frees_its_slot():
    """Guards against requests that go on after their caller has gone."""
    async with engine(slots=1, token_gap_s=0.005) as (app, client):
        task = asyncio.create_task(ask(client, tokens=100_000))
        await until(lambda: app.batch.in_flight)
        task.cancel()
        await until(lambda: not app.batch.in_flight)


@pytest.mark.parametrize(
    ("faults", "expected"),
    [
        ({"doubled": True}, 14),
        ({"bad_share": 1.0}, 7),
        ({"error_share": 1.0}, 0),
    ],
)
async def test_faults_are_switched_at_run_time(faults, expected):
    """Guards against fault tests that pass because no fault was shown."""
    async with engine() as (_, client):
        assert (await client.post("/emulate/v1/faults", json=faults)).status == 200
        answer, events = await ask(client)
        assert (len(events) if answer.status == 200 else 0) == expected
        if "bad_share" in faults:
            assert "[WRONG]" in text_of(events)


async def test_crossed_answer_carries_the_request_before_it():
    """Guards against a crossed answer that is not crossed."""
    async with engine(faults=Faults(crossed=True)) as (_, client):
        await ask(client, identity="first.1")
        answer, _ = await ask(client, identity="second.1")
    assert answer.headers["X-Request-Id"] == "first.1"


async def test_cut_stream_ends_without_done_and_limited_faults_run_out():
    """Guards against a cut that looks like a whole answer."""
    async with engine(faults=Faults(cut_after_tokens=2, requests=1)) as (_, client):
        with pytest.raises(ClientError):
            await ask(client)
        _, events = await ask(client)
    assert events[-1] == "[DONE]"


async def test_marked_prompt_crashes_the_process():
    """Guards against quarantine tests whose engine survives."""
    crashes = []
    async with engine(crash=lambda: crashes.append(1)) as (_, client):
        await ask(client)
        assert not crashes
        await ask(client, messages=[{"role": "user", "content": CRASH_MARKER}])
    assert crashes


@pytest.mark.parametrize(("fencing", "status"), [(True, 409), (False, 200)])
async def test_old_order_is_fenced_only_by_engines_that_check(fencing, status):
    """Guards against an engine that obeys a deposed leader, and against one that never does."""
    async with engine(honours_fencing=fencing) as (app, client):
        new = {"term": 2, "revision": 7, "action": "load", "model": "small", "version": "2"}
        assert (await client.post("/v1/orders", json=new)).status == 200
        await until(lambda: not app.orders.loading)
        assert LoadedVersion("small", "2") in app.orders.loaded
        old = new | {"term": 1, "revision": 9, "action": "unload"}
        answer = await client.post("/v1/orders", json=old)
        assert answer.status == status
        if status == 409:
            assert (await answer.json())["error"]["name"] == "ORDER_FENCED"


async def test_announcement_reports_load_and_cache_late_and_with_gaps():
    """Guards against policies tuned on reports that are fresher than real ones."""
    async with engine(cache_event_delay_s=0.0, cache_event_loss=0.5, report_lag_s=60) as parts:
        app, client = parts
        for number in range(30):
            await ask(client, tokens=1, messages=[{"role": "user", "content": str(number)}])
        announcement = app.announcement()
    sequences = [event["sequence"] for event in announcement["cache_events"]]
    assert 0 < len(sequences) < 30
    assert sequences == sorted(sequences)
    assert announcement["in_flight"] == 0


async def test_imported_kv_cache_saves_the_prefill():
    """Guards against an import that is accepted and not used."""
    async with engine() as (_, first), engine(prefill_tokens_per_s=1.0) as (_, second):
        await ask(first, identity="r.1")
        document = await (await first.get("/v1/kv/r")).json()
        assert (await second.post("/v1/kv", json=document)).status == 200
        async with asyncio.timeout(5):
            _, events = await ask(second, identity="r.2", resume=3)
    assert len(events) == 4
