"""Starts a daemon on the platform: ``python3 -m baobabstream.platform gateway``.

Imports stand in the functions, in the order in which a start needs them.
"""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from baobabstream.cli.fast_start import begin_start

if TYPE_CHECKING:
    from baobabstream.platform.settings import PlatformSettings

__all__ = ["main"]

# Exit status for a wrong command line or settings file, as in sysexits.h.
EX_USAGE, EX_CONFIG = 64, 78


def _run_gateway(settings: "PlatformSettings") -> None:
    from baobabstream.entry.listening_socket import open_listening_socket

    own = settings.gateway()
    # Open before everything else is loaded: callers that come meanwhile wait in its queue instead
    # of being turned away.
    front_socket = open_listening_socket(own.ip, own.front_port)
    _prepare(settings)
    from random import SystemRandom

    import uvloop

    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.gateway.daemon import GatewayDaemon
    from baobabstream.platform.config_format import read_document
    from baobabstream.platform.names import HEADERS, READY_PATH

    run_until_stopped(
        lambda: GatewayDaemon(
            own, HEADERS, READY_PATH, read_document, SystemRandom(), front_socket=front_socket
        ),
        uvloop.run,
        lambda daemon: _reload(daemon, lambda changed: changed.gateway()),
    )


def _run_coordination(settings: "PlatformSettings") -> None:
    _prepare(settings)
    import asyncio

    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.coordination.daemon import CoordinationDaemon
    from baobabstream.platform.operator_api import operator_application

    run_until_stopped(
        lambda: CoordinationDaemon(settings.coordination(), operator_application),
        asyncio.run,
        lambda daemon: _reload(daemon, lambda changed: changed.coordination()),
    )


def _prepare(settings: "PlatformSettings") -> None:
    """Set up logs and the library of the inner protocol."""
    from baobabstream.telemetry.logs import configure_logging
    from baobabstream.wire.threads import limit_nng_threads

    configure_logging("INFO", json_lines=True, host=settings.node_name)
    limit_nng_threads()


def _reload(daemon: Any, read: "Callable[[PlatformSettings], Any]") -> None:
    """Read the settings file again; a daemon keeps its settings if the file cannot be used."""
    from baobabstream.errors.exceptions import SettingsError
    from baobabstream.platform.settings import load_platform_settings

    try:
        settings = read(load_platform_settings())
    except SettingsError as error:
        from baobabstream.telemetry.logs import get_logger

        get_logger("platform").warning("The settings file is not taken: %s", error)
        return
    daemon.reload(settings)


_ROLES = {"gateway": _run_gateway, "coordination": _run_coordination}


def main() -> int:
    """Run the daemon that the command line names; returns the exit status."""
    run = _ROLES.get(sys.argv[1] if len(sys.argv) > 1 else "")
    if run is None:
        print(f"usage: python3 -m baobabstream.platform {'|'.join(_ROLES)}", file=sys.stderr)
        return EX_USAGE
    # Before the other imports, which take most of the start.
    begin_start()
    from baobabstream.errors.exceptions import BaobabstreamError, SettingsError
    from baobabstream.platform.settings import load_platform_settings

    try:
        settings = load_platform_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EX_CONFIG
    try:
        run(settings)
    except BaobabstreamError as error:
        print(error, file=sys.stderr)
        return EX_CONFIG if isinstance(error, SettingsError) else 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
