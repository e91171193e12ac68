"""Codec for daemons that get no shared secret in their settings.

The codec encodes each message between daemons into a frame, with an HMAC over its contents, which
is a hash that depends on a secret key. The platform is the system that runs the daemons.
"""

from baobabstream.wire.codec import WireCodec

__all__ = ["CLUSTER_NAME", "fixed_secret_codec"]

# Name of the cluster in frames and in the data files of coordination hosts.
CLUSTER_NAME = "baobabstream"


def fixed_secret_codec(host: str) -> WireCodec:
    """Return a codec whose secret is the fixed, public cluster name.

    Parameters
    ----------
    host
        Name of the sending host.

    Notes
    -----
    The platform gives its processes no secret. The HMAC in each frame therefore does not
    authenticate the sender; it only detects damaged frames and frames of other programs.
    """
    return WireCodec(CLUSTER_NAME, host, CLUSTER_NAME)
