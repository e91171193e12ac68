"""Speed of the stand-in engine's batch, on the event loop's own clock."""

import asyncio

import pytest

from baobabstream.emulator.batching import BatchSpeed, ContinuousBatch, Sequence

SPEED = BatchSpeed(
    slots=4,
    token_gap_s=0.005,
    tokens_per_s=200.0,
    prefill_tokens_per_s=1000.0,
    prefill_chunk_tokens=100,
)


async def seconds_for(*sequences: Sequence, slow_factor: float = 1.0) -> list[float]:
    """Return when each sequence ends."""
    loop = asyncio.get_running_loop()
    batch = ContinuousBatch(SPEED, lambda: slow_factor)
    running = asyncio.create_task(batch.run())
    started_s = loop.time()

    async def end(sequence: Sequence) -> float:
        while await sequence.tokens.get() is not None:
            pass
        return round(loop.time() - started_s, 3)

    for sequence in sequences:
        batch.submit(sequence)
    ends = await asyncio.gather(*(end(sequence) for sequence in sequences))
    running.cancel()
    return ends


def tokens(count: int, prefill: int = 0) -> Sequence:
    return Sequence(0, prefill, 0, count)


@pytest.mark.looptime
async def test_the_rate_is_shared_over_the_batch():
    """Guards against an engine that gets faster the more it is loaded."""
    assert await seconds_for(tokens(50)) == [0.25]
    assert await seconds_for(*(tokens(50) for _ in range(4))) == [1.0] * 4


@pytest.mark.looptime
async def test_a_fifth_sequence_waits_for_a_slot():
    """Guards against an engine without a limit on its batch."""
    assert await seconds_for(*(tokens(50) for _ in range(5))) == [1.0] * 4 + [1.25]


@pytest.mark.looptime
async def test_a_slowed_engine_takes_five_times_as_long():
    """Guards against straggler tests whose engine is not slow."""
    assert await seconds_for(tokens(50), slow_factor=5.0) == [1.25]


@pytest.mark.looptime
async def test_prefill_takes_time_and_is_cut_into_chunks():
    """Guards against long prompts that cost nothing, or that stop all decoding."""
    long, short = await seconds_for(tokens(1, prefill=1000), tokens(5))
    assert long > 1.0
    assert short < 0.6
