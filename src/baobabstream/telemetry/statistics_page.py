"""Serves the statistics of a process as text for a metrics collector."""

from collections.abc import Iterator
from itertools import accumulate
from typing import Any

from aiohttp import web

from baobabstream.telemetry.statistics import DURATION_BOUNDS_S, STATISTICS, Statistics

__all__ = ["METRICS_PATH", "METRICS_PORT", "StatisticsServer", "render_statistics"]

# Named as well in deploy/system.toml; the usual port of metrics exporters.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"


def render_statistics(statistics: Statistics) -> bytes:
    """Return the statistics in the Prometheus text format."""
    # Loaded at the first question only: a restart must be fast, and most hosts are never asked.
    from prometheus_client import CollectorRegistry, generate_latest
    from prometheus_client.core import Metric
    from prometheus_client.metrics_core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
    )

    class Collector:
        def collect(self) -> Iterator[Metric]:
            families: dict[str, Any] = {}
            for (name, labels), count in list(statistics.counters.items()):
                row = STATISTICS[name]
                family = families.setdefault(
                    name, CounterMetricFamily(name, row.summary, labels=row.labels)
                )
                family.add_metric(labels, count)
            for (name, labels), (buckets, sum_s) in list(statistics.histograms.items()):
                row = STATISTICS[name]
                family = families.setdefault(
                    name, HistogramMetricFamily(name, row.summary, labels=row.labels)
                )
                bounds = [*map(str, DURATION_BOUNDS_S), "+Inf"]
                counts = list(zip(bounds, accumulate(buckets), strict=True))
                family.add_metric(labels, counts, sum_s)
            for name, read in statistics.gauges.items():
                yield GaugeMetricFamily(name, STATISTICS[name].summary, value=read())
            yield from families.values()

    registry = CollectorRegistry()
    registry.register(Collector())
    return generate_latest(registry)


class StatisticsServer:
    """HTTP listener of the metrics address.

    Parameters
    ----------
    statistics
        What is served.
    """

    def __init__(self, statistics: Statistics) -> None:
        application = web.Application()
        application.router.add_get(METRICS_PATH, self._answer)
        self._statistics = statistics
        self._runner = web.AppRunner(application, access_log=None)

    async def start(self, ip: str) -> None:
        """Listen."""
        await self._runner.setup()
        await web.TCPSite(self._runner, ip, METRICS_PORT).start()

    async def stop(self) -> None:
        """Stop listening."""
        await self._runner.cleanup()

    async def _answer(self, _: web.Request) -> web.Response:
        text = render_statistics(self._statistics)
        return web.Response(body=text, content_type="text/plain", charset="utf-8")
