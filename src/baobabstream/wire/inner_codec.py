"""Codec of daemons that are handed no secret."""

from baobabstream.wire.codec import WireCodec

__all__ = ["CLUSTER", "inner_codec"]

CLUSTER = "baobabstream"


def inner_codec(host: str) -> WireCodec:
    """Return the codec of the inner protocol for a host.

    Notes
    -----
    The platform hands its processes no secret, so the proof in each frame only tells a damaged or
    foreign frame from one of ours.
    """
    return WireCodec(CLUSTER, host, CLUSTER)
