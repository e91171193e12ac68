"""Envelope and msgpack codec of the inner protocol."""

import hashlib
import hmac
from typing import Any

from msgspec import DecodeError, Raw, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime
from baobabstream.wire.protocol import PROTOCOL_VERSION
from baobabstream.wire.registry import MessageUnion
from baobabstream.wire.tls import PeerTls

__all__ = ["MAX_FRAME_BYTES", "PROTOCOL_VERSION", "Envelope", "WireCodec"]

MAX_FRAME_BYTES = 16 * 1024 * 1024


class Envelope(Struct, array_like=True, frozen=True):
    """Frame around each message; ``time`` is the sender's hybrid clock reading."""

    protocol_version: int
    cluster: str
    sender: str
    proof: bytes
    time: HybridTime
    body: Raw


class WireCodec:
    """Encodes and decodes messages of one cluster.

    Parameters
    ----------
    cluster
        Name of the cluster. Frames of another cluster are refused.
    sender
        Name of the host that sends.
    peer_secret
        Secret shared by the daemons; each frame carries an HMAC over its contents.
    clock
        Hybrid clock that stamps frames and follows the readings of peers.
    tls
        TLS of all connections that use this codec, or None for plain TCP. It is kept here so
        that no connection can be opened without it.
    """

    def __init__(
        self,
        cluster: str,
        sender: str,
        peer_secret: str,
        clock: HybridClock | None = None,
        tls: PeerTls | None = None,
    ) -> None:
        self.tls = tls
        self._cluster = cluster
        self._sender = sender
        self._secret = peer_secret.encode()
        self._clock = clock or HybridClock()
        self._encoder = Encoder()
        self._envelopes = Decoder(Envelope)
        self._bodies: Decoder[Any] = Decoder(MessageUnion)

    def encode(self, message: Struct) -> bytes:
        """Return the frame that carries a message."""
        body = self._encoder.encode(message)
        time = self._clock.now()
        proof = self._proof(self._sender, time, body)
        envelope = Envelope(PROTOCOL_VERSION, self._cluster, self._sender, proof, time, Raw(body))
        return self._encoder.encode(envelope)

    def decode(self, frame: bytes) -> tuple[str, Any]:
        """Return sender and message of a frame.

        Raises
        ------
        PeerError
            With a 4xxx code if the frame is malformed, from another cluster or protocol
            version, or its proof is wrong.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise PeerError(ResultCode.MESSAGE_MALFORMED, "the frame is over the size limit")
        try:
            envelope = self._envelopes.decode(frame)
        except (DecodeError, ValidationError) as error:
            raise PeerError(ResultCode.MESSAGE_MALFORMED, str(error)) from error
        self._check(envelope)
        self._clock.observe(envelope.time)
        try:
            return envelope.sender, self._bodies.decode(envelope.body)
        except (DecodeError, ValidationError) as error:
            raise PeerError(ResultCode.MESSAGE_MALFORMED, str(error)) from error

    def _check(self, envelope: Envelope) -> None:
        if envelope.protocol_version != PROTOCOL_VERSION:
            raise PeerError(ResultCode.WRONG_PROTOCOL_VERSION)
        if envelope.cluster != self._cluster:
            raise PeerError(ResultCode.WRONG_CLUSTER)
        expected = self._proof(envelope.sender, envelope.time, bytes(envelope.body))
        if not hmac.compare_digest(expected, envelope.proof):
            raise PeerError(ResultCode.PEER_UNAUTHENTICATED)

    def _proof(self, sender: str, time: HybridTime, body: bytes) -> bytes:
        stamp = f"{time.wall_ms}.{time.counter}"
        head = f"{PROTOCOL_VERSION}|{self._cluster}|{sender}|{stamp}|".encode()
        return hmac.digest(self._secret, head + body, hashlib.sha256)[:16]
