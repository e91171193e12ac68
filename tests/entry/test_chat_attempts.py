"""Attempts of chat requests: hedges, resumed streams, foreign answers, losses."""

import asyncio
import json
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import AskTrial, Dispatch, GiveUp, Release
from baobabstream.policy.events import (
    AnswerRated,
    AttemptFailed,
    FailureKind,
    RequestArrived,
    TrialDenied,
    TrialGranted,
)
from baobabstream.wire.messages import TrialReply
from entry_harness import FakeServer, harness, start_app, until


class ScriptedPolicy(RoutingPolicy):
    """Sends an attempt to the first ``hedges`` servers at once, later ones after failures."""

    def __init__(self, *servers: str, hedges: int = 1, rated_before_release: bool = False) -> None:
        self.servers = servers
        self.hedges = hedges
        self.rated_before_release = rated_before_release
        self.events: list = []
        self.next = 0

    def handle(self, event, now_s):
        self.events.append(event)
        match event:
            case RequestArrived():
                self.next = 0
                return [self.dispatch(event.request.request_id) for _ in range(self.hedges)]
            case AttemptFailed() if self.next < len(self.servers):
                return [self.dispatch(event.request_id, event.delivered_tokens)]
            case AttemptFailed():
                return [GiveUp(event.request_id, ResultCode.DEADLINE_UNREACHABLE, 2.0)]
            case AnswerRated(good=False) if self.next < len(self.servers):
                return [self.dispatch(event.request_id)]
            case AnswerRated():
                return [Release(event.request_id, self.next)]
        return []

    def dispatch(self, request_id: str, resume: int = 0) -> Dispatch:
        self.next += 1
        server = self.servers[self.next - 1]
        rated = self.rated_before_release and self.next == 1
        return Dispatch(
            request_id, self.next, server, "small", "1", 0, resume, self.next > 1, rated
        )

    def next_timer_s(self):
        return None

    def of(self, kind):
        return [event for event in self.events if isinstance(event, kind)]


def text(document) -> str:
    return document["choices"][0]["message"]["content"]


def streamed(raw: bytes) -> str:
    events = [event.removeprefix(b"data: ") for event in raw.split(b"\n\n") if event]
    assert events.pop() == b"[DONE]"
    return "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events)


WHOLE = "t0 t1 t2 t3 t4 "


async def test_first_token_wins_and_one_bill() -> None:
    """Guards against two answers or two bills when hedges run side by side."""
    slow, fast = FakeServer("a"), FakeServer("b")
    slow.gate.clear()
    async with harness(slow, fast, policy=ScriptedPolicy("a", "b", hedges=2)) as entry:
        async with entry.ask(stream=True) as response:
            assert streamed(await response.read()) == WHOLE
        await until(lambda: slow.cancelled == 1)
        assert [len(bills) for bills in entry.control.bills.values()] == [1, 1]


@pytest.mark.parametrize("stop", ["abort", "end", "stall"])
@pytest.mark.parametrize("stream", [True, False])
async def test_broken_stream_resumes_elsewhere(stop: str, stream: bool) -> None:
    """Guards against duplicate or missing tokens after a lost, cut or stalled stream."""
    bad, good = FakeServer("a", stop_after=2, stop=stop, health=500), FakeServer("b")
    async with harness(bad, good, policy=ScriptedPolicy("a", "b")) as entry:
        async with entry.ask(stream=stream) as response:
            raw = await response.read()
        assert (streamed(raw) if stream else text(json.loads(raw))) == WHOLE
        assert good.seen[0]["X-Resume-Tokens"] == "2"
        assert entry.control.bills["control-0"][0].output_tokens == 5


async def test_answer_without_tokens_is_whole() -> None:
    """Guards against a lost head or end marker when no block comes before the last one."""
    empty = FakeServer("a", tokens=0)
    async with (
        harness(empty, policy=ScriptedPolicy("a")) as entry,
        entry.ask(stream=True) as response,
    ):
        assert response.status == 200
        assert streamed(await response.read()) == ""


@pytest.mark.parametrize("foreign", ["head", "chunk", "double"])
async def test_foreign_answer_is_not_relayed(foreign: str) -> None:
    """Guards against late, crossed or doubled answers that reach a caller."""
    policy = ScriptedPolicy("a", "b")
    async with harness(FakeServer("a", foreign=foreign), FakeServer("b"), policy=policy) as entry:
        status, document = await entry.answer()
    assert (status, text(document)) == (200, WHOLE)
    assert [event.kind for event in policy.of(AttemptFailed)] == [FailureKind.ERROR]


async def test_silent_connection_is_replaced_without_blaming_the_server() -> None:
    """Guards against blaming a server for a connection that something else dropped."""
    server = FakeServer("a", stop_after=2, stop="stall", stop_once=True)
    policy = ScriptedPolicy("a")
    async with harness(server, policy=policy) as entry:
        status, document = await entry.answer()
    assert (status, text(document)) == (200, WHOLE)
    assert not policy.of(AttemptFailed)
    assert len(server.connections) == 2


async def test_refusal_after_sending_is_not_called_not_run() -> None:
    """Guards against a false "not run" when the policy gives up with such a code."""
    failed = FakeServer("a", status=500)
    async with harness(failed, policy=ScriptedPolicy("a")) as entry:
        status, document = await entry.answer()
    assert status == 429
    assert (document["error"]["ran"], document["error"]["retry_after_s"]) == ("unknown", 2.0)


async def test_refusal_without_connection_is_not_run() -> None:
    """Guards against an "unknown" that keeps a caller from a safe repeat."""
    async with harness(FakeServer("a"), policy=ScriptedPolicy("gone")) as entry:
        _, document = await entry.answer()
    assert document["error"]["ran"] == "no"


async def test_attempt_is_cancelled_when_caller_goes() -> None:
    """Guards against engines that work for a caller that has gone."""
    server = FakeServer("a")
    server.gate.clear()
    async with harness(server, policy=ScriptedPolicy("a")) as entry:
        call = asyncio.create_task(entry.answer())
        await until(lambda: server.seen)
        call.cancel()
        await until(lambda: server.cancelled == 1)


async def test_loss_is_acknowledged_before_the_caller_is_answered() -> None:
    """Guards against a resend that overtakes the report of the server it crashed."""
    policy = ScriptedPolicy("a")
    async with harness(FakeServer("a", stop_after=0, stop="abort"), policy=policy) as entry:
        entry.control.gate.clear()
        call = asyncio.create_task(entry.answer())
        await until(lambda: entry.control.suspects)
        assert not policy.of(AttemptFailed)
        assert not call.done()
        entry.control.gate.set()
        assert (await call)[0] == 429
        report = entry.control.suspects[0]
        assert (report.backend_server, report.incarnation, len(report.fingerprints)) == ("a", 7, 1)


class TrialPolicy(ScriptedPolicy):
    """Runs every request as a suspect."""

    def handle(self, event, now_s):
        if isinstance(event, RequestArrived):
            self.events.append(event)
            self.next = 0
            return [AskTrial(event.request.request_id, ("a", "b"))]
        if isinstance(event, TrialGranted):
            return [self.dispatch(event.request_id)]
        if isinstance(event, TrialDenied):
            return [GiveUp(event.request_id, ResultCode.OVERLOADED, event.retry_after_s)]
        return super().handle(event, now_s)


async def test_trial_is_asked_for_and_ended() -> None:
    """Guards against suspects without a trial, trials without an end, and hasty acquittals."""
    server = FakeServer("a")
    async with harness(server, policy=TrialPolicy("a")) as entry:
        entry.control.trial_reply = TrialReply(retry_after_ms=700)
        status, document = await entry.answer()
        assert (status, document["error"]["retry_after_s"]) == (429, 0.7)
        entry.control.trial_reply = TrialReply("a")
        assert (await entry.answer())[0] == 200
        await until(lambda: len(entry.control.trial_ends) == 1)
        assert not entry.control.trial_ends[0].lost
        server.gate.clear()
        call = asyncio.create_task(entry.answer())
        await until(lambda: len(server.seen) == 2)
        call.cancel()
        await until(lambda: len(entry.control.trial_ends) == 2)
        assert entry.control.trial_ends[1].lost


@pytest.mark.parametrize(
    ("good", "servers", "model_answers", "expected"),
    [
        (True, "ab", 1, "a"),
        (False, "ab", 2, "b"),
        (None, "ab", 1, "a"),
        (False, "a", 1, "a"),
        (False, "ax", 1, "a"),
    ],
)
async def test_cascade_releases_or_escalates(good, servers, model_answers, expected) -> None:
    """Guards against a bad first answer that is released and a good one that is held back."""

    async def rate(_: web.Request) -> web.Response:
        return web.json_response({"good": good})

    policy = ScriptedPolicy(*servers, rated_before_release=True)
    first, second = FakeServer("a"), FakeServer("b", tokens=3)
    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_post("/v1/ratings", rate)
        url = await start_app(stack, app)
        entry = await stack.enter_async_context(
            harness(first, second, policy=policy, rating_url=url, rating_sample=0)
        )
        async with entry.ask(stream=True) as response:
            answer = streamed(await response.read())
        assert answer == (WHOLE if expected == "a" else "t0 t1 t2 ")
        assert len(first.seen) + len(second.seen) == model_answers
        assert [event.good for event in policy.of(AnswerRated)] == ([] if good is None else [good])
        assert len(entry.control.bills["control-0"]) == 1


async def test_answers_are_rated_by_sample() -> None:
    """Guards against a policy without quality evidence."""

    async def rate(_: web.Request) -> web.Response:
        return web.json_response({"good": True})

    policy = ScriptedPolicy("a")
    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_post("/v1/ratings", rate)
        url = await start_app(stack, app)
        entry = await stack.enter_async_context(
            harness(FakeServer("a"), policy=policy, rating_url=url, rating_sample=1)
        )
        await entry.answer(stream=False)
        await until(lambda: policy.of(AnswerRated))


async def test_failing_task_ends_its_request() -> None:
    """Guards against a caller that waits for ever when a task of its request fails."""
    policy = TrialPolicy()
    async with harness(FakeServer("a"), policy=policy) as entry:
        entry.control.trial_reply = TrialReply("a")
        status, document = await entry.answer()
    assert (status, document["error"]["code"]) == (500, ResultCode.INTERNAL_ERROR)
