"""Names, kinds and units of the OpenTelemetry metrics of the entry and control daemons.

An *entry* daemon accepts the requests of callers and sends them to backend servers; *control*
daemons replicate the configuration and the billing ledger in a log. The *leader* among them decides
the changes, its *term* is the number of its election. The configuration *revision* is the number of
its last change. An entry daemon may admit requests only while it has a *lease*, a time-limited
right that the leader grants and renews. A *bill* is the ledger's record of one answered request.
The event *timeline* is the record of what each process did.
"""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["INSTRUMENTS", "Instrument", "InstrumentKind", "MetricName"]


class MetricName(StrEnum):
    """Names of the metrics in OpenTelemetry notation; Prometheus shows dots as underscores."""

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
    """Kind of an OpenTelemetry instrument.

    A counter only grows, an up-down counter may also decrease, a gauge is read at each export, and
    a histogram counts values by bucket.
    """

    COUNTER = "counter"
    GAUGE = "gauge"
    UP_DOWN_COUNTER = "up-down counter"
    HISTOGRAM = "histogram"


@dataclass(frozen=True, slots=True)
class Instrument:
    """Description of a metric.

    Parameters
    ----------
    name, kind, unit
        Name, kind and unit in UCUM notation (Unified Code for Units of Measure): ``s`` is seconds,
        ``1`` a number without unit, and a word in braces names what is counted.
    roles
        Roles of the daemons that export it: ``entry`` or ``control``.
    attributes
        Names of the attributes; each combination of their values is a time series.
    summary
        What it measures, as shown on the reference page and to the metrics collector.
    """

    name: MetricName
    kind: InstrumentKind
    unit: str
    roles: tuple[str, ...]
    attributes: tuple[str, ...]
    summary: str


# Abbreviations for the table below.
_BOTH_ROLES = ("entry", "control")
_HTTP_ATTRIBUTES = ("route", "method", "status")
_Name, _Kind = MetricName, InstrumentKind

INSTRUMENTS: dict[MetricName, Instrument] = {
    instrument.name: instrument
    for instrument in (
        Instrument(
            _Name.EVENTS, _Kind.COUNTER, "{event}", _BOTH_ROLES, ("kind",), "Timeline events."
        ),
        Instrument(
            _Name.HTTP_REQUESTS,
            _Kind.COUNTER,
            "{request}",
            _BOTH_ROLES,
            _HTTP_ATTRIBUTES,
            "HTTP requests answered.",
        ),
        Instrument(
            _Name.HTTP_IN_FLIGHT,
            _Kind.UP_DOWN_COUNTER,
            "{request}",
            _BOTH_ROLES,
            ("route",),
            "HTTP requests that are being served.",
        ),
        Instrument(
            _Name.HTTP_FIRST_BYTE,
            _Kind.HISTOGRAM,
            "s",
            _BOTH_ROLES,
            ("route",),
            "Time from the request to the start of the answer; for a stream, its first token.",
        ),
        Instrument(
            _Name.HTTP_DURATION,
            _Kind.HISTOGRAM,
            "s",
            _BOTH_ROLES,
            ("route",),
            "Time from the request to the end of the answer.",
        ),
        Instrument(
            _Name.CONFIG_REVISION,
            _Kind.GAUGE,
            "{revision}",
            _BOTH_ROLES,
            (),
            "Configuration revision applied.",
        ),
        Instrument(
            _Name.BACKEND_SERVERS,
            _Kind.GAUGE,
            "{server}",
            _BOTH_ROLES,
            (),
            "Backend servers known.",
        ),
        Instrument(
            _Name.ENTRY_LEASE_REMAINING,
            _Kind.GAUGE,
            "s",
            ("entry",),
            (),
            "Time until the control lease ends; at 0 new work is refused.",
        ),
        Instrument(
            _Name.CONTROL_LEADER,
            _Kind.GAUGE,
            "1",
            ("control",),
            (),
            "1 on the leader, 0 elsewhere.",
        ),
        Instrument(_Name.CONTROL_TERM, _Kind.GAUGE, "{term}", ("control",), (), "Term of the log."),
        Instrument(
            _Name.CONTROL_ENTRY_HOSTS,
            _Kind.GAUGE,
            "{host}",
            ("control",),
            (),
            "Entry hosts with a live lease; only the leader knows them.",
        ),
        Instrument(
            _Name.CONTROL_BILLS, _Kind.GAUGE, "{bill}", ("control",), (), "Bills in the ledger."
        ),
    )
}
