"""Limits the number of threads that nng, the messaging library, starts in each daemon."""

from typing import Any

import pynng._nng as _nng_module

__all__ = ["limit_nng_threads"]

# Number of nng's threads of each kind: task threads run callbacks, poller threads wait for sockets,
# expire threads run timers, and resolver threads resolve host names. nng starts about 30 threads by
# default. Fewer suffice, since most daemons have only a few peers, and save memory and processor
# time: a daemon may use 128 MB of memory and 2.3% of the time of one processor core for control.
TASK_THREADS = 2
POLLER_THREADS = 1
EXPIRE_THREADS = 1
RESOLVER_THREADS = 1


def limit_nng_threads() -> None:
    """Set nng's thread counts; must be called before the first socket is opened.

    ``NUM`` parameters set the number of threads, and ``MAX`` parameters its upper limit. nng has no
    upper limit for threads that resolve names.
    """
    # nng's functions and constants. pynng, the Python binding of nng, exposes them through cffi, a
    # library for calls of C functions.
    lib: Any = _nng_module.lib
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_MAX_TASK_THREADS, TASK_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_POLLER_THREADS, POLLER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_MAX_POLLER_THREADS, POLLER_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_EXPIRE_THREADS, EXPIRE_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_MAX_EXPIRE_THREADS, EXPIRE_THREADS)
    lib.nng_init_set_parameter(lib.NNG_INIT_NUM_RESOLVER_THREADS, RESOLVER_THREADS)
