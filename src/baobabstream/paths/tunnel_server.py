"""Takes tunnels of other gateways to backend servers that they do not reach.

The origin of a tunnel is the gateway that asked for it. The server's connection ends with the
tunnel, so that a request which the origin cancels is cancelled at the server too.
"""

import asyncio
from abc import ABC, abstractmethod
from typing import Any

from baobabstream.backends.delivery import DeliveryWait
from baobabstream.backends.http_connection import configure_socket
from baobabstream.errors.exceptions import PeerError
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.paths.loop_lag import LoopLag
from baobabstream.paths.tunnel_frames import (
    FrameDecoder,
    FrameKind,
    InvalidFrame,
    encode_end,
    encode_header,
)
from baobabstream.resources.client_resources import ClientConnection, ClientResources
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.statistics import StatisticName, Statistics
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.tunnel_messages import TunnelOutcome, TunnelReply, TunnelRequest

__all__ = ["TunnelPolicy", "TunnelServer"]

_log = get_logger("tunnel_server")

# Connections of one tunnel: that of the other gateway, and that to the server.
CONNECTIONS_PER_TUNNEL = 2
# Connections of other gateways that may wait to be accepted.
BACKLOG = 64
# Median delay of the event loop from which on no more tunnels are opened, so that the requests of
# this gateway's own callers are not delayed.
MAX_LOOP_LAG_S = 0.05
# Longest time from the connection of another gateway to its request.
REQUEST_TIMEOUT_S = 1.0
# Longest time for which the connection to a server may be tried, whatever the request says.
MAX_CONNECT_TIMEOUT_S = 1.0
# Time between two checks whether all tunnels have ended.
FINISH_POLL_S = 0.05


class TunnelPolicy(ABC):
    """Interface by which a gateway tells which servers other gateways may reach through it."""

    @abstractmethod
    def find_obstacle(self, server_process: str, address: str) -> TunnelOutcome | None:
        """Return why no tunnel to a server may be opened, or None if one may.

        Parameters
        ----------
        server_process
            Identity of the server's process.
        address
            ``IP:PORT`` that the other gateway knows it by.
        """


class TunnelServer:
    """Listens for tunnels of other gateways.

    Parameters
    ----------
    policy
        Tells which servers may be reached.
    codec
        Codec of the protocol between the daemons.
    statistics
        Counts the requests for tunnels.
    resources
        Resources for the connections of other gateways.
    """

    def __init__(
        self,
        policy: TunnelPolicy,
        codec: WireCodec,
        statistics: Statistics,
        resources: ClientResources,
    ) -> None:
        self.policy = policy
        self.codec = codec
        self.resources = resources
        self._statistics = statistics
        self._loop_lag = LoopLag()
        self._lag_task: asyncio.Task[None] | None = None
        self._server: asyncio.Server | None = None
        self._is_stopping = False
        self._tunnels: set[_OriginProtocol] = set()
        # Holds the tasks that open tunnels; the event loop has only a weak reference.
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def max_tunnels(self) -> int:
        """Most tunnels at the same time."""
        return self.resources.max_connections // CONNECTIONS_PER_TUNNEL

    @property
    def open_tunnels(self) -> int:
        """Number of connections of other gateways."""
        return len(self._tunnels)

    @property
    def is_available(self) -> bool:
        """Whether one more tunnel may be opened."""
        return (
            self._server is not None
            and not self._is_stopping
            and len(self._tunnels) < self.max_tunnels
            and self._loop_lag.lag_s < MAX_LOOP_LAG_S
        )

    async def start(self, ip: str, port: int) -> None:
        """Start to listen; raises ``BaobabstreamError`` if the address cannot be used."""
        listener = open_listening_socket(ip, port, BACKLOG)
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _OriginProtocol(self), sock=listener, backlog=BACKLOG
        )
        self._lag_task = asyncio.create_task(self._loop_lag.run())

    def stop_accepting(self) -> None:
        """Open no more tunnels, and let each end after its present request."""
        self._is_stopping = True
        for tunnel in self._tunnels:
            tunnel.retire()

    async def finish(self, end_s: float) -> None:
        """Wait until all tunnels have ended, at most until a time in seconds, and stop."""
        self.stop_accepting()
        loop = asyncio.get_running_loop()
        while self._tunnels and loop.time() < end_s:
            await asyncio.sleep(FINISH_POLL_S)
        if self._server is not None:
            self._server.close()
        if self._lag_task is not None:
            self._lag_task.cancel()
        for tunnel in list(self._tunnels):
            tunnel.abort()

    def add(self, tunnel: "_OriginProtocol") -> None:
        """Count a connection of another gateway."""
        self._tunnels.add(tunnel)

    def remove(self, tunnel: "_OriginProtocol") -> None:
        """Forget a connection of another gateway."""
        self._tunnels.discard(tunnel)

    def start_opening(self, tunnel: "_OriginProtocol", request: TunnelRequest) -> asyncio.Task:
        """Start to open the connection of a tunnel to its server."""
        task = asyncio.create_task(self._open(tunnel, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _open(self, tunnel: "_OriginProtocol", request: TunnelRequest) -> None:
        """Connect to the server of a request, and reply."""
        outcome = await self._connect(tunnel, request)
        self._statistics.add(StatisticName.TUNNEL_REQUESTS, outcome)
        tunnel.reply(outcome)

    async def _connect(self, tunnel: "_OriginProtocol", request: TunnelRequest) -> TunnelOutcome:
        """Connect to the server of a request and return the outcome."""
        if not self.is_available:
            return TunnelOutcome.BUSY
        obstacle = self.policy.find_obstacle(request.server_process, request.address)
        if obstacle is not None:
            return obstacle
        ip, _, port = request.address.partition(":")
        timeout_s = min(request.timeout_ms / 1000, MAX_CONNECT_TIMEOUT_S)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(
                    lambda: _ServerProtocol(tunnel), ip, int(port)
                )
        except (OSError, TimeoutError) as error:
            _log.debug("No tunnel to %s: %s", request.address, error or "no answer")
            return TunnelOutcome.UNREACHABLE
        return TunnelOutcome.OPEN


class _OriginProtocol(asyncio.Protocol):
    """Connection of another gateway."""

    def __init__(self, owner: TunnelServer) -> None:
        self._owner = owner
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._client: ClientConnection | None = None
        self._server_transport: asyncio.Transport | None = None
        self._opening: asyncio.Task | None = None
        self._is_open = False
        self._is_retired = False
        # Bytes for the server, and how many of them were last reported to have reached it.
        self._received_bytes = 0
        self._reported_bytes: int | None = None
        self._request_timeout: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Whether bytes are passed on to a server."""
        return self._is_open

    def connection_made(self, transport: Any) -> None:
        """Count the connection, and wait for its request; or close it if there is no room."""
        self._transport = transport
        self._client = self._owner.resources.admit(self.abort)
        if self._client is None:
            self.abort()
            return
        configure_socket(transport.get_extra_info("socket"))
        self._owner.add(self)
        self._request_timeout = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.abort)

    def data_received(self, data: bytes) -> None:
        """Read the request, or pass bytes on to the server."""
        if self._client is None:
            return
        if self._is_open:
            assert self._server_transport is not None
            self._received_bytes += len(data)
            self._server_transport.write(data)
            return
        try:
            for kind, payload in self._decoder.feed(data):
                self._handle_request(kind, payload)
        except (InvalidFrame, PeerError) as error:
            _log.warning("A request for a tunnel cannot be read: %s", error)
            self.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """End the connection to the server, which cancels a request that runs there."""
        if self._client is None:
            return
        self._client.release()
        self._owner.remove(self)
        if self._request_timeout is not None:
            self._request_timeout.cancel()
        if self._opening is not None:
            self._opening.cancel()
        if self._server_transport is not None:
            self._server_transport.abort()

    def pause_writing(self) -> None:
        """Read no more from the server while the other gateway does not take its bytes."""
        if self._server_transport is not None:
            self._server_transport.pause_reading()

    def resume_writing(self) -> None:
        """Read from the server again."""
        if self._server_transport is not None and not self._server_transport.is_closing():
            self._server_transport.resume_reading()

    def pause_reading(self) -> None:
        """Read no more from the other gateway while the server does not take its bytes."""
        assert self._transport is not None
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read from the other gateway again."""
        assert self._transport is not None
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def attach(self, server_transport: asyncio.Transport) -> None:
        """Use a connection to the server; it is closed if this one has ended meanwhile."""
        self._server_transport = server_transport
        if self._transport is None or self._transport.is_closing():
            server_transport.abort()

    def reply(self, outcome: TunnelOutcome) -> None:
        """Send the outcome, and close the connection unless the tunnel is open."""
        assert self._transport is not None
        if self._transport.is_closing():
            return
        self._is_open = outcome is TunnelOutcome.OPEN
        frame = self._owner.codec.encode(TunnelReply(outcome))
        self._transport.write(encode_header(FrameKind.REPLY, len(frame)) + frame)
        if not self._is_open:
            self._transport.close()

    def relay(self, data: bytes) -> None:
        """Send bytes of the server to the other gateway."""
        assert self._transport is not None
        self._transport.write(encode_header(FrameKind.DATA, len(data)) + data)

    def report_delivery(self) -> None:
        """Tell the other gateway that the server has closed its side, and what had reached it."""
        assert self._transport is not None
        if self._reported_bytes != self._received_bytes:
            self._reported_bytes = self._received_bytes
            self._transport.write(encode_end(self._received_bytes))

    def retire(self) -> None:
        """Tell the other gateway to send no further request through this tunnel."""
        if self._is_open and not self._is_retired and self._transport is not None:
            self._is_retired = True
            self._transport.write(encode_header(FrameKind.RETIRE, 0))

    def abort(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def _handle_request(self, kind: FrameKind, payload: bytes) -> None:
        """Start to open the tunnel that a frame asks for.

        Raises
        ------
        InvalidFrame
            If the frame is no request, or a second one.
        PeerError
            If the request cannot be decoded.
        """
        if kind is not FrameKind.REQUEST or self._opening is not None:
            raise InvalidFrame(f"unexpected kind {kind.name}")
        _, request = self._owner.codec.decode(payload)
        if not isinstance(request, TunnelRequest):
            raise InvalidFrame(f"{type(request).__name__} in place of a request")
        if self._request_timeout is not None:
            self._request_timeout.cancel()
        assert self._client is not None
        self._client.begin_service()
        self._opening = self._owner.start_opening(self, request)


class _ServerProtocol(asyncio.Protocol):
    """Connection to the server of a tunnel."""

    def __init__(self, origin: _OriginProtocol) -> None:
        self._origin = origin
        self._transport: asyncio.Transport | None = None
        self._delivery_wait: DeliveryWait | None = None

    def connection_made(self, transport: Any) -> None:
        """Attach the connection to the tunnel."""
        self._transport = transport
        configure_socket(transport.get_extra_info("socket"))
        self._origin.attach(transport)

    def data_received(self, data: bytes) -> None:
        """Pass bytes of the server on."""
        self._origin.relay(data)

    def pause_writing(self) -> None:
        """Pass on that the server does not take bytes as fast as they come."""
        self._origin.pause_reading()

    def resume_writing(self) -> None:
        """Pass on that the server takes more bytes."""
        self._origin.resume_reading()

    def eof_received(self) -> bool:
        """Report that the server closed its side in order, now and when more bytes reach it.

        The result True keeps the connection open until the other gateway ends the tunnel, or the
        server's host resets the connection; before the tunnel is open, it is closed.
        """
        if not self._origin.is_open:
            return False
        assert self._transport is not None
        self._delivery_wait = DeliveryWait(self._transport, self._origin.report_delivery)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """End the tunnel, which the other gateway takes for a reset."""
        if self._delivery_wait is not None:
            self._delivery_wait.end()
        self._origin.abort()
