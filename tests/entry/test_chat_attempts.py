"""Attempts of chat requests: hedges, resumed streams, answers of other requests, lost servers.

An attempt is one dispatch of a request by the policy to a backend server.
"""

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
from entry_harness import FakeServer, running_entry, start_app, wait_until


class ScriptedPolicy(RoutingPolicy):
    """Dispatches a request to the given servers in turn.

    Parameters
    ----------
    servers
        Identities of the servers.
    initial_attempts
        Attempts that are sent at once when the request arrives; each further one follows a failure.
    rated_before_release
        Whether the answer of the first attempt is rated before it is released.
    """

    def __init__(
        self, *servers: str, initial_attempts: int = 1, rated_before_release: bool = False
    ) -> None:
        self.servers = servers
        self.initial_attempts = initial_attempts
        self.rated_before_release = rated_before_release
        self.events: list = []
        self.dispatch_count = 0

    def handle(self, event, now_s):
        """Record an event and return the decisions of the script."""
        self.events.append(event)
        match event:
            case RequestArrived():
                self.dispatch_count = 0
                return [
                    self.make_dispatch(event.request.request_id)
                    for _ in range(self.initial_attempts)
                ]
            case AttemptFailed() if self.dispatch_count < len(self.servers):
                return [self.make_dispatch(event.request_id, event.delivered_tokens)]
            case AttemptFailed():
                return [GiveUp(event.request_id, ResultCode.DEADLINE_UNREACHABLE, 2.0)]
            case AnswerRated(good=False) if self.dispatch_count < len(self.servers):
                return [self.make_dispatch(event.request_id)]
            case AnswerRated():
                return [Release(event.request_id, self.dispatch_count)]
        return []

    def make_dispatch(self, request_id: str, resume_tokens: int = 0) -> Dispatch:
        """Return the dispatch to the next server."""
        self.dispatch_count += 1
        server = self.servers[self.dispatch_count - 1]
        is_rated_first = self.rated_before_release and self.dispatch_count == 1
        return Dispatch(
            request_id,
            self.dispatch_count,
            server,
            "small",
            "1",
            0,
            resume_tokens,
            self.dispatch_count > 1,
            is_rated_first,
        )

    def next_timer_s(self):
        return None

    def events_of(self, event_type):
        """Return the events of one type that the policy received."""
        return [event for event in self.events if isinstance(event, event_type)]


def completion_text(document) -> str:
    """Return the text of a chat completion."""
    return document["choices"][0]["message"]["content"]


def streamed_text(raw_body: bytes) -> str:
    """Return the text of a streamed answer, which must end with the final marker."""
    events = [event.removeprefix(b"data: ") for event in raw_body.split(b"\n\n") if event]
    assert events.pop() == b"[DONE]"
    return "".join(json.loads(event)["choices"][0]["delta"]["content"] for event in events)


FULL_TEXT = "t0 t1 t2 t3 t4 "  # text of a complete answer


async def test_first_token_wins_and_is_billed_once() -> None:
    """Guards against two answers or two bills when hedged attempts run side by side."""
    slow_server, fast_server = FakeServer("a"), FakeServer("b")
    slow_server.may_answer.clear()
    async with running_entry(
        slow_server, fast_server, policy=ScriptedPolicy("a", "b", initial_attempts=2)
    ) as entry:
        async with entry.post_chat(stream=True) as response:
            assert streamed_text(await response.read()) == FULL_TEXT
        await wait_until(lambda: slow_server.cancelled_count == 1)
        assert [len(bills) for bills in entry.control.bills.values()] == [1, 1]


@pytest.mark.parametrize("fault", ["abort", "end", "stall"])
@pytest.mark.parametrize("stream", [True, False])
async def test_broken_stream_resumes_on_another_server(fault: str, stream: bool) -> None:
    """Guards against duplicate or missing tokens after a stream is lost, cut short or stalled."""
    failing_server, working_server = FakeServer(
        "a", fault_after_tokens=2, fault=fault, health_status=500
    ), FakeServer("b")
    async with running_entry(
        failing_server, working_server, policy=ScriptedPolicy("a", "b")
    ) as entry:
        async with entry.post_chat(stream=stream) as response:
            raw_body = await response.read()
        assert (
            streamed_text(raw_body) if stream else completion_text(json.loads(raw_body))
        ) == FULL_TEXT
        assert working_server.received_headers[0]["X-Resume-Tokens"] == "2"
        assert entry.control.bills["control-0"][0].output_tokens == 5


async def test_answer_without_tokens_is_complete() -> None:
    """Guards against a missing head or final marker if no event precedes the final marker."""
    server = FakeServer("a", token_count=0)
    async with (
        running_entry(server, policy=ScriptedPolicy("a")) as entry,
        entry.post_chat(stream=True) as response,
    ):
        assert response.status == 200
        assert streamed_text(await response.read()) == ""


@pytest.mark.parametrize("foreign_answer", ["head", "chunk", "double"])
async def test_answer_of_another_request_is_not_relayed(foreign_answer: str) -> None:
    """Guards against relaying events with another identity or after the end of the answer."""
    policy = ScriptedPolicy("a", "b")
    async with running_entry(
        FakeServer("a", foreign_answer=foreign_answer), FakeServer("b"), policy=policy
    ) as entry:
        status, document = await entry.chat()
    assert (status, completion_text(document)) == (200, FULL_TEXT)
    assert [event.kind for event in policy.events_of(AttemptFailed)] == [FailureKind.ERROR]


async def test_stalled_connection_is_replaced_without_failing_the_attempt() -> None:
    """Guards against a failed attempt when only a connection to a live server stalls."""
    server = FakeServer("a", fault_after_tokens=2, fault="stall", is_fault_once=True)
    policy = ScriptedPolicy("a")
    async with running_entry(server, policy=policy) as entry:
        status, document = await entry.chat()
    assert (status, completion_text(document)) == (200, FULL_TEXT)
    assert not policy.events_of(AttemptFailed)
    assert len(server.client_ports) == 2


async def test_refusal_after_sending_has_unknown_run_state() -> None:
    """Guards against run state "no" when the policy gives up after an attempt was sent."""
    failing_server = FakeServer("a", http_status=500)
    async with running_entry(failing_server, policy=ScriptedPolicy("a")) as entry:
        status, document = await entry.chat()
    assert status == 429
    assert (document["error"]["ran"], document["error"]["retry_after_s"]) == ("unknown", 2.0)


async def test_refusal_without_connection_has_run_state_no() -> None:
    """Guards against run state "unknown" when no attempt was sent, so that a repeat is safe."""
    async with running_entry(FakeServer("a"), policy=ScriptedPolicy("gone")) as entry:
        _, document = await entry.chat()
    assert document["error"]["ran"] == "no"


async def test_attempt_is_cancelled_when_caller_disconnects() -> None:
    """Guards against engines that keep working for a caller that has disconnected."""
    server = FakeServer("a")
    server.may_answer.clear()
    async with running_entry(server, policy=ScriptedPolicy("a")) as entry:
        chat_task = asyncio.create_task(entry.chat())
        await wait_until(lambda: server.received_headers)
        chat_task.cancel()
        await wait_until(lambda: server.cancelled_count == 1)


async def test_loss_is_acknowledged_before_the_caller_is_answered() -> None:
    """Guards against a repeated request that runs before the leader knows that it is a suspect."""
    policy = ScriptedPolicy("a")
    async with running_entry(
        FakeServer("a", fault_after_tokens=0, fault="abort"), policy=policy
    ) as entry:
        entry.control.may_acknowledge_losses.clear()
        chat_task = asyncio.create_task(entry.chat())
        await wait_until(lambda: entry.control.suspect_reports)
        assert not policy.events_of(AttemptFailed)
        assert not chat_task.done()
        entry.control.may_acknowledge_losses.set()
        assert (await chat_task)[0] == 429
        loss_report = entry.control.suspect_reports[0]
        assert (
            loss_report.backend_server,
            loss_report.incarnation,
            len(loss_report.fingerprints),
        ) == ("a", 7, 1)


class TrialPolicy(ScriptedPolicy):
    """Treats every request as a suspect, which may run only in a trial, alone on a server."""

    def handle(self, event, now_s):
        """Ask for a trial on arrival and dispatch or give up according to the reply."""
        if isinstance(event, RequestArrived):
            self.events.append(event)
            self.dispatch_count = 0
            return [AskTrial(event.request.request_id, ("a", "b"))]
        if isinstance(event, TrialGranted):
            return [self.make_dispatch(event.request_id)]
        if isinstance(event, TrialDenied):
            return [GiveUp(event.request_id, ResultCode.OVERLOADED, event.retry_after_s)]
        return super().handle(event, now_s)


async def test_trial_is_requested_and_ended() -> None:
    """Guards against suspects that run without a trial, and trials that are never ended.

    A trial whose caller disconnects must not clear the suspect.
    """
    server = FakeServer("a")
    async with running_entry(server, policy=TrialPolicy("a")) as entry:
        entry.control.trial_reply = TrialReply(retry_after_ms=700)
        status, document = await entry.chat()
        assert (status, document["error"]["retry_after_s"]) == (429, 0.7)
        entry.control.trial_reply = TrialReply("a")
        assert (await entry.chat())[0] == 200
        await wait_until(lambda: len(entry.control.trial_ends) == 1)
        assert not entry.control.trial_ends[0].lost
        server.may_answer.clear()
        chat_task = asyncio.create_task(entry.chat())
        await wait_until(lambda: len(server.received_headers) == 2)
        chat_task.cancel()
        await wait_until(lambda: len(entry.control.trial_ends) == 2)
        assert entry.control.trial_ends[1].lost


@pytest.mark.parametrize(
    ("is_good", "servers", "request_count", "expected_server"),
    [
        (True, "ab", 1, "a"),
        (False, "ab", 2, "b"),
        (None, "ab", 1, "a"),
        (False, "a", 1, "a"),
        (False, "ax", 1, "a"),
    ],
)
async def test_cascade_releases_or_escalates(
    is_good, servers, request_count, expected_server
) -> None:
    """Guards against the release of a bad first answer and the delay of a good one.

    A bad answer is still released if no other server can answer.
    """

    async def handle_rating(_: web.Request) -> web.Response:
        """Answer as the rating service."""
        return web.json_response({"good": is_good})

    policy = ScriptedPolicy(*servers, rated_before_release=True)
    first_server, second_server = FakeServer("a"), FakeServer("b", token_count=3)
    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_post("/v1/ratings", handle_rating)
        url = await start_app(stack, app)
        entry = await stack.enter_async_context(
            running_entry(
                first_server, second_server, policy=policy, rating_url=url, rating_sample=0
            )
        )
        async with entry.post_chat(stream=True) as response:
            answer_text = streamed_text(await response.read())
        assert answer_text == (FULL_TEXT if expected_server == "a" else "t0 t1 t2 ")
        assert (
            len(first_server.received_headers) + len(second_server.received_headers)
            == request_count
        )
        assert [event.good for event in policy.events_of(AnswerRated)] == (
            [] if is_good is None else [is_good]
        )
        assert len(entry.control.bills["control-0"]) == 1


async def test_sampled_answer_is_rated() -> None:
    """Guards against a policy that receives no ratings of delivered answers."""

    async def handle_rating(_: web.Request) -> web.Response:
        """Answer as the rating service."""
        return web.json_response({"good": True})

    policy = ScriptedPolicy("a")
    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_post("/v1/ratings", handle_rating)
        url = await start_app(stack, app)
        entry = await stack.enter_async_context(
            running_entry(FakeServer("a"), policy=policy, rating_url=url, rating_sample=1)
        )
        await entry.chat(stream=False)
        await wait_until(lambda: policy.events_of(AnswerRated))


async def test_exception_in_a_task_ends_the_request() -> None:
    """Guards against a caller that waits for ever when a task of its request fails.

    The policy has no server to dispatch to, so the task that asks for the trial raises.
    """
    policy = TrialPolicy()
    async with running_entry(FakeServer("a"), policy=policy) as entry:
        entry.control.trial_reply = TrialReply("a")
        status, document = await entry.chat()
    assert (status, document["error"]["code"]) == (500, ResultCode.INTERNAL_ERROR)
