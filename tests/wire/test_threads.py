"""nng's threads are limited."""

import subprocess
import sys

PROGRAM = """
import os
from baobabstream.wire.threads import limit_nng_threads
limit_nng_threads()
from pynng import Rep0
socket = Rep0(listen="tcp://127.0.0.1:0")
print(len(os.listdir("/proc/self/task")))
"""


def test_a_daemon_has_few_threads():
    """Guards against a release of pynng that ignores the limits; without them it has over 30."""
    answer = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True, timeout=30
    )
    assert int(answer.stdout) <= 12
