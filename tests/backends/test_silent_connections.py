"""Tests for how long a server may be silent before the kernel ends a connection to it."""

import socket
from itertools import count

import pytest

from baobabstream.backends.http_connection import configure_socket

# A sound server may be silent for a second or so.
TOLERATED_SILENCE_S = 2.0
# Time within which a server that has vanished must be noticed.
CONTACT_S = 3.0


@pytest.fixture
def sock():
    """Return a socket with the options of a connection to a server."""
    with socket.socket() as sock:
        configure_socket(sock)
        yield sock


def tcp_option(sock: socket.socket, option: int) -> int:
    """Return a TCP option of a socket."""
    return sock.getsockopt(socket.IPPROTO_TCP, option)


def give_up_s(sock: socket.socket) -> float:
    """Return the time since the last received byte at which Linux ends an idle connection.

    With a user timeout, the first unanswered probe after it decides, whatever the number of probes;
    see tcp(7), ``TCP_USER_TIMEOUT``.
    """
    user_timeout_s = tcp_option(sock, socket.TCP_USER_TIMEOUT) / 1000
    idle_s = tcp_option(sock, socket.TCP_KEEPIDLE)
    interval_s = tcp_option(sock, socket.TCP_KEEPINTVL)
    probe_limit = tcp_option(sock, socket.TCP_KEEPCNT)
    for probes in count(1):
        elapsed_s = idle_s + probes * interval_s
        if elapsed_s >= user_timeout_s if user_timeout_s else probes >= probe_limit:
            return elapsed_s
    raise AssertionError


def test_sound_server_may_be_silent_for_a_moment(sock):
    """Guards against connections that end while their server pauses.

    The silence may begin just before the first probe, which is then not answered.
    """
    assert give_up_s(sock) - tcp_option(sock, socket.TCP_KEEPIDLE) >= TOLERATED_SILENCE_S


def test_user_timeout_does_not_cut_the_keepalive_probes_short(sock):
    """Guards against a user timeout that ends a connection before the probes would."""
    all_probes_s = tcp_option(sock, socket.TCP_KEEPIDLE) + tcp_option(
        sock, socket.TCP_KEEPCNT
    ) * tcp_option(sock, socket.TCP_KEEPINTVL)
    assert tcp_option(sock, socket.TCP_USER_TIMEOUT) / 1000 >= all_probes_s


def test_vanished_server_is_noticed_in_time(sock):
    """Guards against requests that wait for a server which is gone without a reset."""
    assert give_up_s(sock) <= CONTACT_S
