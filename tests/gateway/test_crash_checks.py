"""Tests what a gateway concludes from the connections that it loses."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabstream.gateway.attempt_recorder import SURVIVAL_S, AttemptRecorder
from baobabstream.gateway.request_execution import RequestExecution
from baobabstream.routing.document import RouteKind
from baobabstream.routing.version_evidence import ResponseVerdict


@pytest.fixture
def request_of_stream():
    """Return a request for a stream, with what the recorder reads of it."""
    return SimpleNamespace(
        route=SimpleNamespace(kind=RouteKind.STREAM, name="chat"),
        crash_keys=frozenset({"part/c0"}),
        shared_prompt_key=lambda _: None,
    )


async def test_cancelled_request_does_not_cancel_the_checks_of_its_servers(context):
    """Guards against a crash that goes unnoticed as the request's deadline passes meanwhile."""
    request = SimpleNamespace(route=SimpleNamespace(model_names=()), model="small")
    execution = RequestExecution(request, None, context)
    checks = [asyncio.create_task(asyncio.sleep(0.2, True)) for _ in range(2)]
    execution._recorder.crash_checks.extend(checks)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await execution._refuse_if_quarantined()
    assert [await check for check in checks] == [True, True]


async def test_server_that_answers_again_counts_as_alive(context, request_of_stream):
    """Guards against survivals that are ignored since their server had been cut off for a while."""
    server = context.directory.get("old")
    server.has_crashed = True
    server.in_flight = 1
    attempt = SimpleNamespace(
        server=server,
        model="",
        sent_s=0.0,
        uncached_prompt_tokens=10,
        was_cut=False,
        verdict=ResponseVerdict.NONE,
    )
    recorder = AttemptRecorder(request_of_stream, context)
    recorder.record_response(attempt, 200)
    recorder.watch_survival(attempt, request_of_stream.crash_keys)
    await asyncio.sleep(SURVIVAL_S + 0.1)
    now_s = asyncio.get_running_loop().time()
    assert context.crash_tracker.survivals(["part/c0"], now_s)["part/c0"] > 0.9


async def test_begun_answer_clears_the_parts_of_the_prompt_but_not_the_request(context):
    """Guards against a request that clears itself as its server ends long after its first event."""
    request = SimpleNamespace(crash_keys=frozenset({"part/c0", "request/r0"}))
    server = context.directory.get("old")
    server.in_flight = 1
    attempt = SimpleNamespace(server=server, was_cut=False)
    AttemptRecorder(request, context).watch_survival(attempt, frozenset({"part/c0"}))
    await asyncio.sleep(SURVIVAL_S + 0.1)
    now_s = asyncio.get_running_loop().time()
    assert context.crash_tracker.survivals(request.crash_keys, now_s).keys() == {"part/c0"}


def test_request_that_was_given_up_is_a_suspect_as_long_as_its_server_may_run_it(context):
    """Guards against servers that end under a request whose caller or gateway has left."""
    server = context.directory.get("old")
    server.record_abandoned_run(frozenset({"request/ended"}), 4.0)
    server.record_abandoned_run(frozenset({"request/running"}), 6.0)
    assert server.take_crash_suspects(5.0) == {frozenset({"request/running"})}
    assert server.take_crash_suspects(5.0) == set()
