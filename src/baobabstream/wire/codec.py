"""Envelope and codec of the protocol between daemons.

Messages are encoded in msgpack, a binary serialisation format. A frame is one encoded
``Envelope``: the message, its sender, a reading of the sender's hybrid logical clock, and an HMAC
over all of them. An HMAC is a keyed hash, which only holders of the shared secret can compute.

A peer is another daemon of the cluster. A hybrid logical clock gives wall time plus a counter; it
advances to the readings that it receives, so that an event never has an earlier time than the
message that caused it. A reading that is too far ahead is ignored.
"""

import hashlib
import hmac
from typing import Any

from msgspec import DecodeError, Raw, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime
from baobabstream.wire.message_union import MessageUnion
from baobabstream.wire.protocol import PROTOCOL_VERSION
from baobabstream.wire.tls import PeerTls

__all__ = ["MAX_FRAME_BYTES", "PROTOCOL_VERSION", "Envelope", "WireCodec"]

# 16 MiB. Larger frames are refused before they are decoded.
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Envelope(Struct, array_like=True, frozen=True):
    """Contents of a frame.

    ``cluster`` is the name of the sender's cluster, ``sender`` its host name, ``proof`` the HMAC,
    ``time`` the reading of the sender's hybrid clock, and ``body`` the encoded message. The type
    ``Raw`` leaves the message encoded until version, cluster and HMAC have been checked.
    """

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
        Secret shared by the daemons, the key of the HMAC in each frame.
    clock
        Hybrid clock whose reading goes into each frame, and which advances to the readings of
        peers. By default a new one.
    tls
        TLS configuration of all connections that use this codec, or None for plain TCP. Clients
        and servers take it from the codec, so that none can be opened without it.
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
        self._hmac_key = peer_secret.encode()
        self._clock = clock or HybridClock()
        self._encoder = Encoder()
        self._envelope_decoder = Decoder(Envelope)
        self._message_decoder: Decoder[Any] = Decoder(MessageUnion)

    def encode(self, message: Struct) -> bytes:
        """Return the frame for a message, with a new reading of the clock."""
        body = self._encoder.encode(message)
        time = self._clock.now()
        proof = self._compute_hmac(self._sender, time, body)
        envelope = Envelope(PROTOCOL_VERSION, self._cluster, self._sender, proof, time, Raw(body))
        return self._encoder.encode(envelope)

    def decode(self, frame: bytes) -> tuple[str, Any]:
        """Return the sender's host name and the message of a frame.

        The clock advances to the reading in the frame if the HMAC is right.

        Raises
        ------
        PeerError
            With a 4xxx code if the frame is too large or malformed, from another cluster or
            protocol version, or if its HMAC is wrong.
        """
        if len(frame) > MAX_FRAME_BYTES:
            raise PeerError(ResultCode.MESSAGE_MALFORMED, "the frame is over the size limit")
        try:
            envelope = self._envelope_decoder.decode(frame)
        except (DecodeError, ValidationError, RecursionError) as error:
            raise PeerError(ResultCode.MESSAGE_MALFORMED, str(error)) from error
        self._check_envelope(envelope)
        self._clock.observe(envelope.time)
        try:
            return envelope.sender, self._message_decoder.decode(envelope.body)
        except (DecodeError, ValidationError, RecursionError) as error:
            raise PeerError(ResultCode.MESSAGE_MALFORMED, str(error)) from error

    def _check_envelope(self, envelope: Envelope) -> None:
        """Raise ``PeerError`` if version, cluster or HMAC of an envelope is wrong.

        The HMACs are compared in constant time, so that a sender cannot find a valid one from the
        time that a comparison takes.
        """
        if envelope.protocol_version != PROTOCOL_VERSION:
            raise PeerError(ResultCode.WRONG_PROTOCOL_VERSION)
        if envelope.cluster != self._cluster:
            raise PeerError(ResultCode.WRONG_CLUSTER)
        expected_proof = self._compute_hmac(envelope.sender, envelope.time, bytes(envelope.body))
        if not hmac.compare_digest(expected_proof, envelope.proof):
            raise PeerError(ResultCode.PEER_UNAUTHENTICATED)

    def _compute_hmac(self, sender: str, time: HybridTime, body: bytes) -> bytes:
        """Return the HMAC-SHA256 of a frame's contents, truncated to 16 bytes.

        It covers all other fields of the envelope, so that none can be changed without the secret.
        """
        clock_reading = f"{time.wall_ms}.{time.counter}"
        header = f"{PROTOCOL_VERSION}|{self._cluster}|{sender}|{clock_reading}|".encode()
        return hmac.digest(self._hmac_key, header + body, hashlib.sha256)[:16]
