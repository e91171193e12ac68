"""Creates the codec of an entry or control daemon from its settings.

The codec encodes and decodes the messages between daemons. Entry daemons handle callers' requests;
control daemons store the configuration. nng is the messaging library of the connections.
"""

from baobabstream.settings.models import ControlSettings, EntrySettings
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.tls import PeerTls

__all__ = ["peer_codec"]


def peer_codec(settings: EntrySettings | ControlSettings, clock: HybridClock) -> WireCodec:
    """Return the codec for the connections of an entry or control daemon to control daemons.

    A control daemon also uses it for the connections that it accepts. Entry daemons accept no
    connections of other daemons, so only the host names of the control daemons are needed to check
    the certificates of the daemons that this one connects to.

    Parameters
    ----------
    settings
        Settings of the daemon, with cluster name, shared secret, control hosts and TLS files.
        Without TLS files (``peer_tls`` is None) the connections are plain TCP.
    clock
        Hybrid logical clock of the daemon (wall time and a counter), whose reading goes into each
        frame.
    """
    tls = None
    if settings.peer_tls is not None:
        # By nng address of a control daemon, the host name that its certificate must carry.
        host_names = {f"tcp://{peer.ip}:{peer.port}": peer.host for peer in settings.control}
        tls = PeerTls(settings.peer_tls, host_names)
    secret = settings.peer_secret.get_secret_value()
    return WireCodec(settings.cluster, settings.host, secret, clock, tls)
