"""State that all request executions of a gateway share.

The entry host runs the gateway, which sends each request to a backend server. Coordination hosts
supply the routing document (the operator's configuration), the announcements of backend servers and
the rollouts. A configuration is in force once the gateway routes requests by it.

A service is a group of equivalent backend servers. A rollout moves a service from a base version to
a target version. A session is a series of requests that a caller marks as belonging together; while
a rollout is in progress, a session stays on one version if possible. A retry is every send of a
request after its first.
"""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

from baobabstream.gateway.crash_tracker import CrashTracker
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.server_directory import KnownServer, ServerDirectory
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.paths.server_paths import ServerPaths
from baobabstream.resources.client_resources import ProcessResources
from baobabstream.routing.gateway_ranks import GatewayRanks
from baobabstream.routing.response_time_estimator import ResponseTimeEstimator
from baobabstream.routing.retry_budget import RetryBudget
from baobabstream.routing.route_table import RouteTable
from baobabstream.routing.session_versions import SessionVersions
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState, ServerState

__all__ = ["GatewayContext"]


@dataclass
class GatewayContext:
    """Configuration, backend servers, retry budgets and logs of one gateway.

    Parameters
    ----------
    settings, header_names
        Settings, and the names of the HTTP headers that the gateway reads and writes.
    directory
        Known backend servers.
    session_versions
        Decides which version of a service a session runs on.
    crash_tracker
        Records which requests crash servers, and tells which requests are refused for that.
    decisions
        Log of decisions.
    random
        Source of random numbers that decides between servers of equal cost.
    control_age_s
        Returns the seconds since a coordination host last replied; infinite before the first reply.
    response_times
        Expected times to the first part of a response, by model, or by route if there is no model,
        as a function of the prompt tokens that the server has to process.
    event_intervals
        Expected times between the events of a stream, by model, as a function of the number of
        requests at the server.
    route_table
        Index of the configuration in force, or None before the first one.
    rollouts
        State of the last rollout of each service, by service.
    rollout_revision
        Revision of ``rollouts``; it rises with each change.
    ranks
        Position of this gateway among the active ones, by the replies of the coordination hosts.
    is_stopping
        Whether the daemon has been asked to stop.
    retry_budgets
        Limits of the retries to each service, by service.
    resources
        Connections and memory for callers, other daemons and buffered responses.
    background_tasks
        Tasks that outlive the request that started them.
    paths
        Servers that this gateway does not reach, or not by its own path.
    """

    settings: GatewaySettings
    header_names: HeaderNames
    directory: ServerDirectory
    session_versions: SessionVersions
    crash_tracker: CrashTracker
    decisions: DecisionLog
    random: Random
    control_age_s: Callable[[], float] = lambda: float("inf")
    response_times: ResponseTimeEstimator = field(default_factory=ResponseTimeEstimator)
    event_intervals: ResponseTimeEstimator = field(default_factory=ResponseTimeEstimator)
    route_table: RouteTable | None = None
    rollouts: dict[str, RolloutRow] = field(default_factory=dict)
    rollout_revision: int = 0
    ranks: GatewayRanks = field(default_factory=GatewayRanks)
    is_stopping: bool = False
    retry_budgets: dict[str, RetryBudget] = field(default_factory=dict)
    resources: ProcessResources = field(init=False)
    background_tasks: set[asyncio.Task] = field(default_factory=set)
    paths: ServerPaths = field(default_factory=ServerPaths)

    def __post_init__(self) -> None:
        self.resources = ProcessResources(self.settings.limits)

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, and create it at the first call.

        The budget limits how many retries the gateway sends to the service in a time window.
        """
        budget = self.retry_budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RetryBudget(
                settings.retry_share, settings.retry_slack, settings.retry_window_s
            )
            self.retry_budgets[service] = budget
        return budget

    def has_servers_for_all_services(self) -> bool:
        """Return whether a configuration is in force and each of its services has a server."""
        return self.route_table is not None and all(
            self.directory.has_server(service) for service in self.route_table.services
        )

    def is_in_rollout(self, service: str) -> bool:
        """Return whether a rollout of a service is in progress."""
        rollout = self.rollouts.get(service)
        return rollout is not None and rollout.state is RolloutState.IN_PROGRESS

    def runs_rollout_target(self, server: KnownServer) -> bool:
        """Return whether a server runs the target version of a rollout in progress."""
        rollout = self.rollouts.get(server.row.service)
        return (
            rollout is not None
            and rollout.state is RolloutState.IN_PROGRESS
            and rollout.target == server.row.version
        )

    def control_age_ms(self) -> int | None:
        """Return the milliseconds since a coordination host replied, None before any has."""
        age_s = self.control_age_s()
        return int(age_s * 1000) if age_s != float("inf") else None

    def log_quarantines(
        self,
        added: Collection[frozenset[str]],
        removed: Collection[frozenset[str]],
        reason: str,
    ) -> None:
        """Write to the decision log which sets of keys are quarantined or not any more, if any.

        ``reason`` says who has decided it.
        """
        if added or removed:
            self.decisions.record(
                DecisionEvent.QUARANTINE_CHANGED,
                added=["+".join(sorted(keys)) for keys in added],
                removed=["+".join(sorted(keys)) for keys in removed],
                reason=reason,
            )

    def log_limit(self, server: KnownServer, reason: str) -> None:
        """Write the changed limit of a server to the decision log; ``reason`` says who named it."""
        self.decisions.record(
            DecisionEvent.SERVER_LIMITED,
            server=server.row.server_id,
            limit_per_s=server.limit.rate_per_s,
            reason=reason,
        )

    def log_brittleness(self, server: KnownServer) -> None:
        """Write to the decision log whether a server is brittle now."""
        self.decisions.record(
            DecisionEvent.SERVER_BRITTLE,
            server=server.row.server_id,
            max_rejections_per_s=server.rejection_guard.max_rejections_per_s,
        )

    def is_in_service(self, server: KnownServer) -> bool:
        """Return whether a server is announced as ready, and its version in use.

        The servers of a version end without notice once a rollout has replaced it.
        """
        rollout = self.rollouts.get(server.row.service)
        version_is_in_use = (
            rollout is None
            or rollout.state is RolloutState.IN_PROGRESS
            or rollout.base in ("", server.row.version)
        )
        return server.row.state is ServerState.READY and not server.is_leaving and version_is_in_use

    def candidates(self, service: str, session: str, now_s: float) -> list[KnownServer]:
        """Return the servers that may run a request of a session and take requests now.

        These are the ones of `servers_of_session` that have not asked for a pause, whose limits
        allow one more request, and that have a place for it if they are brittle.
        """
        rank = self.ranks.current(now_s)
        return [
            server
            for server in self.servers_of_session(service, session, now_s)
            if server.refuses_until_s <= now_s
            and server.limit.allows_request(now_s, rank.count)
            and server.rejection_guard.allows_request(
                server.in_flight, server.row.slots, server.process_id, rank, now_s
            )
        ]

    def pause_left_s(self, service: str, session: str, now_s: float) -> float | None:
        """Return the seconds until a server that takes no request now will probably take one.

        A server has asked for a pause, names a limit, or is brittle and has rejected a request. The
        time is that of the first one that may
        run a request of the session, or None if none of them has done so. The parameters are those
        of `candidates`.
        """
        pauses_s = (
            max(
                server.refuses_until_s - now_s,
                server.limit.seconds_to_next_request(),
                server.rejection_guard.seconds_paused(now_s),
            )
            for server in self.servers_of_session(service, session, now_s)
        )
        return min((pause_s for pause_s in pauses_s if pause_s > 0), default=None)

    def servers_of_session(self, service: str, session: str, now_s: float) -> list[KnownServer]:
        """Return the servers whose version may run a request of a session.

        Parameters
        ----------
        service
            Service of the request.
        session
            Session of the request.
        now_s
            Time in seconds.

        Notes
        -----
        If no server runs the version chosen for the session, the other version of a rollout in
        progress is allowed. Once a rollout is no longer in progress, only the base version, which a
        completed rollout has changed to its target, gets requests. A version that was rolled back,
        or is not part of a rollout, gets none.

        While the base version is unknown, it is taken to be the version of the server that started
        first, other than the target of the rollout; a new version is started after the old one. If
        all servers run the target, there is no base version.
        """
        servers = self.directory.ready_servers(service, now_s)
        if not servers:
            return []
        rollout = self.rollouts.get(service)
        target = rollout.target if rollout is not None else ""
        base = rollout.base if rollout is not None else ""
        if not base:
            non_target_servers = [server for server in servers if server.row.version != target]
            oldest = min(non_target_servers or servers, key=lambda server: server.row.born_ms)
            base = oldest.row.version if non_target_servers else ""
        base_servers = [server for server in servers if server.row.version == base]
        if rollout is None or not target:
            return base_servers or servers
        if rollout.state is not RolloutState.IN_PROGRESS:
            return base_servers
        target_servers = [server for server in servers if server.row.version == target]
        if self.session_versions.uses_target(rollout, session):
            return target_servers or base_servers
        return base_servers or target_servers
