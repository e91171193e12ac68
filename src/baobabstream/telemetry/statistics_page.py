"""HTTP server of the metrics address, which a Prometheus collector reads.

It serves the statistics of a gateway or coordination daemon: counters, gauges and duration
histograms that the daemon keeps as plain numbers. A statistic with one combination of label values
is a *series*; the series of one statistic form a *family*.
"""

from collections.abc import Iterator
from itertools import accumulate
from typing import Any

from aiohttp import web

from baobabstream.ingress.bounded_runner import BoundedAppRunner, start_bounded_site
from baobabstream.resources.client_resources import ClientResources
from baobabstream.telemetry.statistics import DURATION_BOUNDS_S, STATISTICS, Statistics

__all__ = ["METRICS_PATH", "METRICS_PORT", "StatisticsServer", "render_statistics"]

# TCP port; the default of OpenTelemetry's Prometheus exporter. Also in deploy/system.toml.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"


def render_statistics(statistics: Statistics) -> bytes:
    """Return the statistics in the Prometheus text format."""
    # Imported at the first request only: a restart must be fast, and most hosts get no request.
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import Metric
    from prometheus_client.metrics_core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )

    class Collector:
        """Converts the statistics into the metrics of the Prometheus client library."""

        def collect(self) -> Iterator[Metric]:
            """Yield one metric family for each statistic that has values."""
            # Counters and histograms by name; their series are added one at a time.
            families: dict[str, Any] = {}
            for (name, labels), count in list(statistics.counters.items()):
                description = STATISTICS[name]
                family = families.setdefault(
                    name, CounterMetricFamily(name, description.summary, labels=description.labels)
                )
                family.add_metric(labels, count)
            for (name, labels), (bucket_counts, sum_s) in list(statistics.histograms.items()):
                description = STATISTICS[name]
                family = families.setdefault(
                    name,
                    HistogramMetricFamily(name, description.summary, labels=description.labels),
                )
                # The library expects cumulative counts and an infinite last bound.
                bounds = [*map(str, DURATION_BOUNDS_S), "+Inf"]
                cumulative_counts = list(zip(bounds, accumulate(bucket_counts), strict=True))
                family.add_metric(labels, cumulative_counts, sum_s)
            for name, read_value in statistics.gauges.items():
                yield GaugeMetricFamily(name, STATISTICS[name].summary, value=read_value())
            yield from families.values()

    registry = CollectorRegistry()
    registry.register(Collector())
    return generate_latest(registry)


class StatisticsServer:
    """Serves the statistics at ``METRICS_PATH`` of the metrics address.

    Parameters
    ----------
    statistics
        Statistics of this process.
    resources
        Resources for the clients of this process.
    """

    def __init__(self, statistics: Statistics, resources: ClientResources) -> None:
        application = web.Application()
        application.router.add_get(METRICS_PATH, self._serve_statistics)
        self._statistics = statistics
        self._runner = BoundedAppRunner(application, resources)

    async def start(self, ip: str) -> None:
        """Listen on ``METRICS_PORT`` of the given IP address."""
        await self._runner.setup()
        await start_bounded_site(self._runner, ip, METRICS_PORT)

    async def stop(self) -> None:
        """Close the listening socket and the connections."""
        await self._runner.cleanup()

    async def _serve_statistics(self, _: web.Request) -> web.Response:
        """Return the present statistics in the Prometheus text format."""
        text = render_statistics(self._statistics)
        return web.Response(body=text, content_type="text/plain", charset="utf-8")
