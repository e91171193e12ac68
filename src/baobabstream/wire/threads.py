"""Limits the threads that nng starts in each daemon."""

from typing import Any

import pynng._nng as _nng_module

__all__ = ["limit_nng_threads"]

# nng starts about 30 threads by default; the control budget per daemon is 128 MB and 2.3% of a
# core, and a daemon has only a handful of peers.
TASK_THREADS = 2
POLLER_THREADS = 1
EXPIRE_THREADS = 1
RESOLVER_THREADS = 1


def limit_nng_threads() -> None:
    """Set nng's thread counts; must run before the first socket is opened."""
    lib: Any = _nng_module.lib
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_MAX_TASK_THREADS, TASK_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_POLLER_THREADS, POLLER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_MAX_POLLER_THREADS, POLLER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_EXPIRE_THREADS, EXPIRE_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_MAX_EXPIRE_THREADS, EXPIRE_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_RESOLVER_THREADS, RESOLVER_THREADS)
