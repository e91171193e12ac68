"""Reads what backend servers say of themselves."""

from ipaddress import AddressValueError, IPv4Address

from msgspec import Struct
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.platform.decoding import decode
from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["read_announcement", "read_departure"]

MAX_PORT = 65_535

_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _Heartbeat(Struct):
    service: str
    address: str
    zone: str
    # Version of the server's software, which rollouts replace.
    version: str
    slots: int
    state: str
    # Rises with each call of one start of the server.
    seq: int
    # Unix time of the start in milliseconds; tells starts under one identity apart.
    born: int = 0


class _Departure(Struct):
    born: int | None = None


_heartbeats = Decoder(_Heartbeat)
_departures = Decoder(_Departure)


def read_announcement(server_id: str, body: bytes) -> ServerRow:
    """Return the announcement of a backend server.

    Raises
    ------
    RequestRefused
        ``ANNOUNCEMENT_INVALID`` if it cannot be read or names no server that could be used.
    """
    beat = decode(_heartbeats, body, ResultCode.ANNOUNCEMENT_INVALID)
    state = _STATES.get(beat.state)
    if state is None:
        raise RequestRefused(ResultCode.ANNOUNCEMENT_INVALID, f"unknown state {beat.state!r}")
    if not server_id or not beat.service or not _is_address(beat.address) or beat.slots <= 0:
        raise RequestRefused(ResultCode.ANNOUNCEMENT_INVALID, "a field has no usable value")
    return ServerRow(
        server_id,
        beat.born,
        beat.seq,
        beat.service,
        beat.address,
        beat.zone,
        beat.version,
        beat.slots,
        state,
    )


def read_departure(body: bytes) -> int | None:
    """Return the start of the server that leaves, if its message names one."""
    try:
        return decode(_departures, body, ResultCode.ANNOUNCEMENT_INVALID).born if body else None
    except RequestRefused:
        # The identity in the path is enough; the body adds nothing that must be known.
        return None


def _is_address(text: str) -> bool:
    ip, _, port = text.partition(":")
    try:
        IPv4Address(ip)
    except AddressValueError:
        return False
    return port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT
