"""Creates the codec of an entry or control daemon from its settings."""

from baobabstream.settings.models import ControlSettings, EntrySettings
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.tls import PeerTls

__all__ = ["peer_codec"]


def peer_codec(settings: EntrySettings | ControlSettings, clock: HybridClock) -> WireCodec:
    """Return the codec for all connections of a daemon to other daemons.

    Parameters
    ----------
    settings
        Settings of the daemon, with cluster name, shared secret, control hosts and TLS files.
    clock
        Hybrid clock of the daemon, whose reading goes into each frame.
    """
    tls = None
    if settings.peer_tls is not None:
        host_names = {f"tcp://{peer.ip}:{peer.port}": peer.host for peer in settings.control}
        tls = PeerTls(settings.peer_tls, host_names)
    secret = settings.peer_secret.get_secret_value()
    return WireCodec(settings.cluster, settings.host, secret, clock, tls)
