"""OpenTelemetry metrics of an entry or control daemon, exported in the Prometheus format.

An *entry* daemon accepts the requests of callers; a *control* daemon replicates the configuration.
Names, kinds and units of the metrics are in the table ``INSTRUMENTS``.
"""

from collections.abc import Callable
from socket import socket
from typing import Any

from aiohttp import web

from baobabstream.ingress.bounded_runner import SMALL_BACKLOG, BoundedAppRunner
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.resources.client_resources import ClientResources
from baobabstream.telemetry.instruments import INSTRUMENTS, InstrumentKind, MetricName
from baobabstream.telemetry.timeline import EventKind

__all__ = ["Metrics"]

# Upper bounds of the histogram buckets in seconds. The latency targets of the classes of work,
# which operators define for groups of requests, lie between 0.05 s and 60 s.
DURATION_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 300.0)


class Metrics:
    """Records and exports the metrics of a daemon; without a port it does nothing.

    Parameters
    ----------
    role
        Role of the daemon: ``entry`` or ``control``.
    host
        Name of this host, exported as the resource attribute ``host.name``.
    ip, port
        Address that the Prometheus exporter listens on; no port switches the metrics off.

    Raises
    ------
    BaobabstreamError
        ``ADDRESS_IN_USE`` if the exporter cannot listen on the address.
    """

    def __init__(self, role: str, host: str, ip: str, port: int | None) -> None:
        self._role = role
        self._instruments: dict[MetricName, Any] = {}
        # Serves the metrics once the daemon starts; None without a port.
        self._listener: socket | None = None
        self._runner: BoundedAppRunner | None = None
        if port is None:
            return
        # Imported only if metrics are exported, since OpenTelemetry takes 4 MB of memory.
        from opentelemetry.exporter.prometheus import PrometheusMetricReader
        from opentelemetry.sdk.metrics import MeterProvider
        from opentelemetry.sdk.resources import Resource

        self._listener = open_listening_socket(ip, port, SMALL_BACKLOG)
        resource = Resource.create({"service.name": f"baobabstream-{role}", "host.name": host})
        self._provider = MeterProvider([PrometheusMetricReader()], resource=resource)
        self._meter = self._provider.get_meter("baobabstream")
        for name, instrument in INSTRUMENTS.items():
            if role in instrument.roles and instrument.kind is not InstrumentKind.GAUGE:
                self._instruments[name] = self._create_instrument(name)

    async def start(self, resources: ClientResources) -> None:
        """Start the exporter, whose clients use the resources of the process."""
        if self._listener is None:
            return
        application = web.Application()
        application.router.add_get("/{path:.*}", self._serve_metrics)
        self._runner = BoundedAppRunner(application, resources)
        await self._runner.setup()
        await web.SockSite(self._runner, self._listener, backlog=SMALL_BACKLOG).start()

    def add(self, name: MetricName, amount: float, attributes: dict[str, str]) -> None:
        """Add ``amount``, in the metric's unit, to a counter or an up-down counter.

        ``attributes`` are the values of the metric's attributes by name.
        """
        instrument = self._instruments.get(name)
        if instrument is not None:
            instrument.add(amount, attributes)

    def record(self, name: MetricName, value: float, attributes: dict[str, str]) -> None:
        """Record a value, in the metric's unit, in a histogram.

        ``attributes`` are the values of the metric's attributes by name.
        """
        instrument = self._instruments.get(name)
        if instrument is not None:
            instrument.record(value, attributes)

    def observe(self, name: MetricName, read_value: Callable[[], float]) -> None:
        """Register a gauge; ``read_value`` returns its value in the metric's unit.

        It is called in the event loop when the metrics are exported.
        """
        if self._listener is None:
            return
        from opentelemetry.metrics import Observation

        def observe_value(_: Any) -> list[Observation]:
            return [Observation(read_value())]

        instrument = INSTRUMENTS[name]
        self._instruments[name] = self._meter.create_observable_gauge(
            name, [observe_value], instrument.unit, instrument.summary
        )

    def count_event(self, kind: EventKind) -> None:
        """Count an event of the timeline, the record of what this daemon does."""
        self.add(MetricName.EVENTS, 1, {"kind": kind.value})

    async def close(self) -> None:
        """Stop the exporter; has no effect without a port."""
        if self._listener is None:
            return
        self._provider.shutdown()
        if self._runner is not None:
            await self._runner.cleanup()
        self._listener.close()
        self._listener = None

    async def _serve_metrics(self, _: web.Request) -> web.Response:
        """Return the present metrics in the Prometheus text format."""
        from prometheus_client import generate_latest

        return web.Response(body=generate_latest(), content_type="text/plain", charset="utf-8")

    def _create_instrument(self, name: MetricName) -> Any:
        """Return a new OpenTelemetry counter, up-down counter or histogram."""
        instrument = INSTRUMENTS[name]
        match instrument.kind:
            case InstrumentKind.COUNTER:
                return self._meter.create_counter(name, instrument.unit, instrument.summary)
            case InstrumentKind.UP_DOWN_COUNTER:
                return self._meter.create_up_down_counter(name, instrument.unit, instrument.summary)
        return self._meter.create_histogram(
            name,
            instrument.unit,
            instrument.summary,
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_S,
        )
