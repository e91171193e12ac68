"""Records what a process holds for its clients and peers, and which of them it refuses."""

from collections.abc import Callable

from baobabstream.resources.client_resources import (
    ClientRefusal,
    ClientResources,
    ProcessResources,
)
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.telemetry.statistics import StatisticName

__all__ = ["record_clients"]


def record_clients(resources: ProcessResources, decisions: DecisionLog) -> None:
    """Record each refusal in the decision log, and show what is held on the statistics page.

    Parameters
    ----------
    resources
        Resources of the process.
    decisions
        Decision log of the process.
    """
    statistics = decisions.statistics

    def make_recorder(side: str, part: ClientResources) -> Callable[[ClientRefusal], None]:
        """Return the function that records a refusal by one part of the resources."""

        def record(reason: ClientRefusal) -> None:
            statistics.add(StatisticName.REFUSED_CLIENTS, side, reason)
            decisions.record(
                DecisionEvent.CLIENT_REFUSED,
                side=side,
                reason=reason,
                connections=part.open_connections,
                held_bytes=part.memory.held_bytes,
            )

        return record

    for side, part in (("client", resources.clients), ("peer", resources.peers)):
        part.on_refusal = make_recorder(side, part)
    statistics.register_gauge(
        StatisticName.CLIENT_CONNECTIONS, lambda: resources.clients.open_connections
    )
    statistics.register_gauge(
        StatisticName.CLIENT_BYTES, lambda: resources.clients.memory.held_bytes
    )
    statistics.register_gauge(
        StatisticName.PEER_CONNECTIONS, lambda: resources.peers.open_connections
    )
    statistics.register_gauge(StatisticName.PEER_BYTES, lambda: resources.peers.memory.held_bytes)
