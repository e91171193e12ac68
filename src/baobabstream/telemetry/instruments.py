"""Names, kinds and units of all metrics."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["INSTRUMENTS", "Instrument", "InstrumentKind", "MetricName"]


class MetricName(StrEnum):
    """Names of the metrics, as OpenTelemetry has them."""

    EVENTS = "baobabstream.events"
    HTTP_REQUESTS = "baobabstream.http.requests"
    HTTP_IN_FLIGHT = "baobabstream.http.requests_in_flight"
    HTTP_FIRST_BYTE = "baobabstream.http.first_byte_duration"
    HTTP_DURATION = "baobabstream.http.request_duration"
    CONFIG_REVISION = "baobabstream.config.revision"
    BACKEND_SERVERS = "baobabstream.backend_servers"
    ENTRY_LEASE_REMAINING = "baobabstream.entry.lease_remaining"
    CONTROL_LEADER = "baobabstream.control.leader"
    CONTROL_TERM = "baobabstream.control.term"
    CONTROL_ENTRY_HOSTS = "baobabstream.control.entry_hosts"
    CONTROL_BILLS = "baobabstream.control.bills"


class InstrumentKind(StrEnum):
    """Kind of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    UP_DOWN_COUNTER = "up-down counter"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Instrument:
    """One metric.

    Parameters
    ----------
    name, kind, unit
        Name, kind and UCUM unit.
    roles
        Daemons that have it.
    attributes
        Keys that tell its series apart.
    summary
        What it measures.
    """

    name: MetricName
    kind: InstrumentKind
    unit: str
    roles: tuple[str, ...]
    attributes: tuple[str, ...]
    summary: str


_BOTH = ("entry", "control")
_HTTP = ("route", "method", "status")
_N, _K = MetricName, InstrumentKind

INSTRUMENTS: dict[MetricName, Instrument] = {
    item.name: item
    for item in (
        Instrument(_N.EVENTS, _K.COUNTER, "{event}", _BOTH, ("kind",), "Timeline events."),
        Instrument(
            _N.HTTP_REQUESTS, _K.COUNTER, "{request}", _BOTH, _HTTP, "HTTP requests answered."
        ),
        Instrument(
            _N.HTTP_IN_FLIGHT,
            _K.UP_DOWN_COUNTER,
            "{request}",
            _BOTH,
            ("route",),
            "HTTP requests that are being served.",
        ),
        Instrument(
            _N.HTTP_FIRST_BYTE,
            _K.HISTOGRAM,
            "s",
            _BOTH,
            ("route",),
            "Time from the request to the start of the answer; for a stream, its first token.",
        ),
        Instrument(
            _N.HTTP_DURATION,
            _K.HISTOGRAM,
            "s",
            _BOTH,
            ("route",),
            "Time from the request to the end of the answer.",
        ),
        Instrument(
            _N.CONFIG_REVISION, _K.GAUGE, "{revision}", _BOTH, (), "Configuration revision applied."
        ),
        Instrument(_N.BACKEND_SERVERS, _K.GAUGE, "{server}", _BOTH, (), "Backend servers known."),
        Instrument(
            _N.ENTRY_LEASE_REMAINING,
            _K.GAUGE,
            "s",
            ("entry",),
            (),
            "Time until the control lease ends; at 0 new work is refused.",
        ),
        Instrument(
            _N.CONTROL_LEADER, _K.GAUGE, "1", ("control",), (), "1 on the leader, 0 elsewhere."
        ),
        Instrument(_N.CONTROL_TERM, _K.GAUGE, "{term}", ("control",), (), "Term of the log."),
        Instrument(
            _N.CONTROL_ENTRY_HOSTS,
            _K.GAUGE,
            "{host}",
            ("control",),
            (),
            "Entry hosts with a live lease; only the leader knows them.",
        ),
        Instrument(_N.CONTROL_BILLS, _K.GAUGE, "{bill}", ("control",), (), "Bills in the ledger."),
    )
}
