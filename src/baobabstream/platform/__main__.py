"""Starts a daemon on the platform: ``python3 -m baobabstream.platform gateway``.

The role is ``gateway`` or ``coordination``. Modules are imported within the functions, in the order
in which the start needs them, so that the gateway's socket is open before the slow imports.

A gateway daemon sends the requests of callers to backend servers. A coordination daemon gives the
gateways the routing configuration and the announcements of the backend servers.
"""

import sys
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from baobabstream.cli.fast_start import prepare_fast_start

if TYPE_CHECKING:
    from baobabstream.platform.settings import PlatformSettings

__all__ = ["main"]

# Exit status after a wrong command line and after an invalid settings file, with the names and
# numbers of the C header sysexits.h.
EX_USAGE, EX_CONFIG = 64, 78


def _run_gateway(settings: "PlatformSettings") -> None:
    """Run a gateway daemon until the process is told to stop.

    A reload signal (SIGHUP) makes it read the settings file again. ``front_socket`` is the socket
    at which the daemon listens for callers, and ``SystemRandom()`` its source of random numbers.
    uvloop is a faster implementation of asyncio's event loop.
    """
    from baobabstream.ingress.listening_socket import open_listening_socket

    gateway_settings = settings.gateway()
    # Opened before the other modules are imported: connections of callers then wait in the accept
    # queue instead of being refused.
    front_socket = open_listening_socket(
        gateway_settings.ip, gateway_settings.front_port, gateway_settings.limits.accept_backlog
    )
    _configure_process(settings)
    from random import SystemRandom

    import uvloop

    from baobabstream.cli.process_memory import return_large_buffers
    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.gateway.daemon import GatewayDaemon
    from baobabstream.platform.config_format import read_document
    from baobabstream.platform.names import HEADERS, READY_PATH

    return_large_buffers()
    run_until_stopped(
        lambda: GatewayDaemon(
            gateway_settings,
            HEADERS,
            READY_PATH,
            read_document,
            SystemRandom(),
            front_socket=front_socket,
        ),
        uvloop.run,
        lambda daemon: _reload_settings(daemon, lambda new_settings: new_settings.gateway()),
    )


def _run_coordination(settings: "PlatformSettings") -> None:
    """Run a coordination daemon until the process is told to stop.

    A reload signal (SIGHUP) makes it read the settings file again.
    """
    _configure_process(settings)
    import asyncio

    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.coordination.daemon import CoordinationDaemon
    from baobabstream.platform.operator_api import operator_application

    run_until_stopped(
        lambda: CoordinationDaemon(settings.coordination(), operator_application),
        asyncio.run,
        lambda daemon: _reload_settings(daemon, lambda new_settings: new_settings.coordination()),
    )


def _configure_process(settings: "PlatformSettings") -> None:
    """Configure logging, and the thread limits of nng, the messaging library.

    The log has one JSON object per line, with the name of this host, from level INFO on.
    """
    from baobabstream.telemetry.logs import configure_logging
    from baobabstream.wire.threads import limit_nng_threads

    configure_logging("INFO", json_lines=True, host=settings.node_name)
    limit_nng_threads()


def _reload_settings(daemon: Any, select_settings: "Callable[[PlatformSettings], Any]") -> None:
    """Read the settings file again and apply it to a daemon.

    The daemon keeps its settings if the file cannot be used.

    Parameters
    ----------
    daemon
        A gateway or coordination daemon.
    select_settings
        Returns the settings of the daemon's role from the settings of the platform.
    """
    from baobabstream.errors.exceptions import SettingsError
    from baobabstream.platform.settings import load_platform_settings

    try:
        settings = select_settings(load_platform_settings())
    except SettingsError as error:
        from baobabstream.telemetry.logs import get_logger

        get_logger("platform").warning(
            "The settings file cannot be used; the daemon keeps its settings: %s", error
        )
        return
    daemon.reload(settings)


_RUN_BY_ROLE = {"gateway": _run_gateway, "coordination": _run_coordination}


def main() -> int:
    """Run the daemon whose role the command line names, and return the exit status.

    The status is 0 after a regular stop, ``EX_USAGE`` or ``EX_CONFIG``, and 1 after other errors
    of this package, such as an address that is in use.
    """
    run_role = _RUN_BY_ROLE.get(sys.argv[1] if len(sys.argv) > 1 else "")
    if run_role is None:
        print(f"usage: python3 -m baobabstream.platform {'|'.join(_RUN_BY_ROLE)}", file=sys.stderr)
        return EX_USAGE
    # Prepares the process for the imports, which take most of the start-up time: turns the garbage
    # collector off, spares aiohttp, the HTTP library, from reading the host's certificate
    # authorities, and keeps a reload signal (SIGHUP), which would end the process, until the daemon
    # can handle it.
    prepare_fast_start()
    from baobabstream.errors.exceptions import BaobabstreamError, SettingsError
    from baobabstream.platform.settings import load_platform_settings

    try:
        settings = load_platform_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EX_CONFIG
    try:
        run_role(settings)
    except BaobabstreamError as error:
        print(error, file=sys.stderr)
        return EX_CONFIG if isinstance(error, SettingsError) else 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
