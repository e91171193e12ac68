"""Tests that the number of nng's threads is limited."""

import subprocess
import sys

# Opens a socket in a new process and prints the number of its threads.
PROGRAM = """
import os
from baobabstream.wire.threads import limit_nng_threads
limit_nng_threads()
from pynng import Rep0
socket = Rep0(listen="tcp://127.0.0.1:0")
print(len(os.listdir("/proc/self/task")))
"""


def test_process_has_few_threads():
    """Guards against a pynng release that ignores the limits; without them there are over 30."""
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM], capture_output=True, text=True, check=True, timeout=30
    )
    assert int(completed.stdout) <= 12
