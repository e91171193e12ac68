"""Tests the memory of a process whose clients get bytes without end from many servers at once."""

import asyncio
import sys
from pathlib import Path

import pytest

from backends.raw_server import encode_answer, raw_server, read_request
from baobabstream.backends.http_connection import AnswerFailed, HttpConnection
from baobabstream.resources.memory_budget import MemoryBudget
from endless_server import PROGRAM_ENVIRONMENT, endless_servers
from memory_figures import MAX_PROCESS_BYTES
from waiting import until

SCRIPT = Path(__file__).with_name("endless_calls.py")
REQUESTS = 60


@pytest.mark.parametrize("client", ["service", "engine"])
async def test_endless_bytes_do_not_take_the_memory_of_the_process(client):
    """Guards against a process that grows until it is ended, with the requests of all callers."""
    async with endless_servers() as addresses:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, SCRIPT, client, str(REQUESTS), *addresses.values()),
            env=PROGRAM_ENVIRONMENT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
    failures, peak_bytes = map(int, output.split())
    assert failures == REQUESTS
    assert peak_bytes < MAX_PROCESS_BYTES


def test_largest_answers_give_way_to_small_ones():
    """Guards against a few endless answers that leave no memory for the answers to others."""
    evicted: list[str] = []
    memory = MemoryBudget(100)
    large = memory.open(lambda: evicted.append("large"))
    medium = memory.open(lambda: evicted.append("medium"))
    assert large.try_acquire(60)
    assert medium.try_acquire(40)
    assert not large.try_acquire(1)
    small = memory.open(lambda: evicted.append("small"))
    assert small.try_acquire(10)
    assert evicted == ["large"]
    assert not large.try_acquire(1)
    # What an answer that was given up releases later is not counted twice.
    large.release(60)
    large.close()
    assert medium.try_acquire(50)
    assert not medium.try_acquire(1)
    assert not memory.open(lambda: None).try_acquire(101)


def test_closed_answers_leave_all_memory_to_others():
    """Guards against memory that is lost with each answer, until no answer finds any."""
    memory = MemoryBudget(100)
    for _ in range(1000):
        answer = memory.open(lambda: None)
        assert answer.try_acquire(90)
        answer.release(30)
        answer.close()
    assert memory.open(lambda: None).try_acquire(100)


async def test_whole_answer_that_gave_way_is_not_delivered_in_part():
    """Guards against an answer whose bytes were dropped for smaller ones and that looks whole."""

    async def script(reader, writer):
        await read_request(reader)
        writer.write(encode_answer("a", b"x" * 1000))
        await asyncio.sleep(1)

    memory = MemoryBudget(1000)
    async with raw_server(script) as address:
        ip, _, port = address.partition(":")
        connection = HttpConnection("x-request-id")
        await connection.open(ip, int(port), 1.0)
        connection.send(
            "a", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", memory.open(connection.give_up_answer)
        )
        await connection.read_head()
        await until(lambda: not connection.is_answer_pending)
        assert memory.open(lambda: None).try_acquire(10)
        with pytest.raises(AnswerFailed) as raised:
            await connection.read_part()
        assert not raised.value.connection_lost
