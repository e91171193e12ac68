"""Decodes and validates the announcements and departure messages of backend servers.

A backend server announces itself by regular heartbeats over HTTP, and tells when it leaves. Its
identity stands in the path of the call; one identity may have several starts, called incarnations.
A server in the state ``ready`` takes new requests; one that is ``draining`` only finishes those
that it has.
"""

from ipaddress import AddressValueError, IPv4Address
from typing import Annotated

from msgspec import Meta, Struct
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.platform.decoding import (
    MAX_IDENTIFIER_LENGTH,
    Identifier,
    NaturalNumber,
    decode,
)
from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["read_announcement", "read_departure"]

# Highest TCP port number, and its number of digits. Python converts no text of very many digits.
MAX_PORT, MAX_PORT_DIGITS = 65_535, 5

# By the state's name in a heartbeat. A server in the third state, GONE, sends no heartbeats.
_SERVER_STATES = {"ready": ServerState.READY, "draining": ServerState.DRAINING}


class _Heartbeat(Struct):
    """JSON body of a heartbeat."""

    service: Identifier
    # IP:PORT at which the server takes requests.
    address: str
    # Availability zone.
    zone: Annotated[str, Meta(max_length=MAX_IDENTIFIER_LENGTH)]
    # Version of the server's software, which rollouts replace.
    version: Annotated[str, Meta(max_length=MAX_IDENTIFIER_LENGTH)]
    # Requests that the server runs at once.
    slots: NaturalNumber
    # A key of _SERVER_STATES.
    state: str
    # Rises with each heartbeat of one incarnation.
    seq: NaturalNumber
    # Start time in Unix milliseconds, which distinguishes incarnations with the same identity; 0 if
    # the server does not tell it.
    born: NaturalNumber = 0


class _Departure(Struct):
    """JSON body of the call by which a server leaves."""

    # Start time of the incarnation that leaves, in Unix milliseconds; None if it is not told.
    born: NaturalNumber | None = None


_heartbeat_decoder = Decoder(_Heartbeat)
_departure_decoder = Decoder(_Departure)


def read_announcement(server_id: str, body: bytes) -> ServerRow:
    """Return the announcement in the body of a heartbeat.

    Parameters
    ----------
    server_id
        Identity of the server, from the path of the call.
    body
        JSON text of the heartbeat.

    Raises
    ------
    RequestRefused
        ``ANNOUNCEMENT_INVALID`` if the body cannot be decoded, the state is unknown, identity or
        service is empty, a name is too long, the address is not IPv4:PORT, the number of slots is
        not positive, or a number is negative or does not fit into 64 bits.
    """
    heartbeat = decode(_heartbeat_decoder, body, ResultCode.ANNOUNCEMENT_INVALID)
    state = _SERVER_STATES.get(heartbeat.state)
    if state is None:
        raise RequestRefused(ResultCode.ANNOUNCEMENT_INVALID, f"unknown state {heartbeat.state!r}")
    if (
        not _is_identity(server_id)
        or not _is_ipv4_with_port(heartbeat.address)
        or heartbeat.slots <= 0
    ):
        raise RequestRefused(ResultCode.ANNOUNCEMENT_INVALID, "a field has an invalid value")
    return ServerRow(
        server_id,
        heartbeat.born,
        heartbeat.seq,
        heartbeat.service,
        heartbeat.address,
        heartbeat.zone,
        heartbeat.version,
        heartbeat.slots,
        state,
    )


def read_departure(body: bytes) -> int | None:
    """Return the start time of the incarnation that leaves, in Unix milliseconds.

    Returns None if the body is empty, names no start time or cannot be decoded.
    """
    try:
        return (
            decode(_departure_decoder, body, ResultCode.ANNOUNCEMENT_INVALID).born if body else None
        )
    except RequestRefused:
        # The identity in the path of the call is sufficient: without a start time, the call applies
        # to the incarnation that is known for this identity.
        return None


def _is_identity(text: str) -> bool:
    """Return whether a text from a path can be the identity of a server.

    Bytes of a path that are not UTF-8 are no printable characters.
    """
    return 0 < len(text) <= MAX_IDENTIFIER_LENGTH and text.isprintable()


def _is_ipv4_with_port(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port, separated by a colon."""
    ip, _, port = text.partition(":")
    try:
        IPv4Address(ip)
    except AddressValueError:
        return False
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return is_number and 0 < int(port) <= MAX_PORT
