"""Frames of a tunnel between two gateways.

Each frame has a kind, a length and a payload. The gateway that opens the tunnel sends a request and
gets a reply. After that it sends the bytes for the server without frames, and gets those of the
server in frames, so that the end of the server's connection can be told from a reset.
"""

from collections.abc import Iterator
from enum import IntEnum
from struct import Struct

__all__ = [
    "FrameDecoder",
    "FrameKind",
    "InvalidFrame",
    "decode_end",
    "encode_end",
    "encode_header",
]

# Kind and length of the payload, in network byte order.
_HEADER = Struct("!BI")
# Number of bytes that have reached a server.
_DELIVERED_BYTES = Struct("!Q")
# Longest payload of a request or reply.
MAX_CONTROL_BYTES = 4096


class FrameKind(IntEnum):
    """Kind of a frame."""

    # Encoded ``TunnelRequest`` and ``TunnelReply``.
    REQUEST = 1
    REPLY = 2
    # Bytes of the server.
    DATA = 3
    # The server has closed its side of its connection in order. The payload is the number of bytes
    # for the server that have reached its host, or empty from hosts that do not count them. If more
    # bytes follow, so does another frame, or a reset.
    END = 4
    # The tunnel takes no further request after the present one.
    RETIRE = 5


class InvalidFrame(ValueError):
    """Raised when received bytes are no frames."""


def encode_header(kind: FrameKind, payload_bytes: int) -> bytes:
    """Return the header of a frame with a payload of some bytes."""
    return _HEADER.pack(kind, payload_bytes)


def encode_end(delivered_bytes: int) -> bytes:
    """Return a frame that says that the server has closed its side after some bytes reached it."""
    payload = _DELIVERED_BYTES.pack(delivered_bytes)
    return encode_header(FrameKind.END, len(payload)) + payload


def decode_end(payload: bytes) -> int | None:
    """Return the number of bytes that have reached a server, or None if the frame tells none.

    Raises
    ------
    InvalidFrame
        If the payload is neither empty nor a number.
    """
    if not payload:
        return None
    if len(payload) != _DELIVERED_BYTES.size:
        raise InvalidFrame(f"{len(payload)} bytes in a frame of kind {FrameKind.END}")
    (delivered_bytes,) = _DELIVERED_BYTES.unpack(payload)
    return delivered_bytes


class FrameDecoder:
    """Decodes the frames of one direction from blocks of bytes of any size."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Frame that has begun, and the bytes of its payload that are still to come.
        self._kind: FrameKind | None = None
        self._missing_bytes = 0

    def feed(self, data: bytes) -> Iterator[tuple[FrameKind, bytes]]:
        """Yield kind and payload of each frame; the payload of data comes in parts as it arrives.

        Raises
        ------
        InvalidFrame
            If the kind is unknown, or the payload of a request or reply too long.
        """
        self._buffer += data
        while True:
            if self._kind is None and not self._read_header():
                return
            assert self._kind is not None
            kind, is_whole = self._kind, len(self._buffer) >= self._missing_bytes
            if not is_whole and (kind is not FrameKind.DATA or not self._buffer):
                return
            payload = bytes(self._buffer[: self._missing_bytes])
            del self._buffer[: self._missing_bytes]
            self._missing_bytes -= len(payload)
            if is_whole:
                self._kind = None
            yield kind, payload

    def _read_header(self) -> bool:
        """Read the next header, and return False if it has not arrived completely."""
        if len(self._buffer) < _HEADER.size:
            return False
        kind, self._missing_bytes = _HEADER.unpack_from(self._buffer)
        del self._buffer[: _HEADER.size]
        try:
            self._kind = FrameKind(kind)
        except ValueError as error:
            raise InvalidFrame(f"unknown kind {kind}") from error
        if self._kind is not FrameKind.DATA and self._missing_bytes > MAX_CONTROL_BYTES:
            raise InvalidFrame(f"{self._missing_bytes} bytes in a frame of kind {kind}")
        return True
