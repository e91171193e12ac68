"""Tests of the processes and the networks that the soak's checks rely on."""

import asyncio
import os
import signal
from pathlib import Path

from platform_stand_in import PlatformHarness
from soak.processes import SupervisedDaemon

__all__: list[str] = []

# Number of processes that are killed, each with a series of signals.
PROCESS_COUNT = 20
# Time for which signals are sent to a process that ends, in seconds.
SIGNALLED_S = 0.1


# Guards against a false report of how a process ended when faults overlap.
async def test_exit_code_is_right_when_signals_arrive_while_the_process_ends(
    tmp_path: Path,
) -> None:
    daemons = [
        SupervisedDaemon("gateway", "127.0.0.1", tmp_path / str(number), ())
        for number in range(PROCESS_COUNT)
    ]
    loop = asyncio.get_running_loop()
    for daemon in daemons:
        supervisor = asyncio.create_task(daemon.run())
        while not daemon.send_signal(signal.SIGCONT):
            await asyncio.sleep(0.01)
        daemon.stop_for_good()
        signalled_until_s = loop.time() + SIGNALLED_S
        # The event loop doesn't run meanwhile, so that it can't learn that the process has ended.
        while loop.time() < signalled_until_s:
            daemon.send_signal(signal.SIGKILL)
        await supervisor
    assert [daemon.exit_codes for daemon in daemons] == [[-signal.SIGKILL]] * PROCESS_COUNT


# Guards against two runs of one seed that use the same addresses at the same time.
async def test_network_in_use_is_not_used_again(tmp_path: Path) -> None:
    network = 60_500 + os.getpid() % 400
    first, second = (PlatformHarness(tmp_path, network=network) for _ in range(2))
    try:
        assert not set(first.coordinator_ips) & set(second.coordinator_ips)
    finally:
        await first.__aexit__()
        await second.__aexit__()
