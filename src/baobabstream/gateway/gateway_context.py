"""What every request run of a gateway shares."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from baobabstream.gateway.crash_tracker import CrashWatch
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.server_directory import KnownServer, ServerDirectory
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.routing.response_time_estimator import AnswerTimes
from baobabstream.routing.retry_budget import SecondSendBudget
from baobabstream.routing.route_table import RouteTable
from baobabstream.routing.session_versions import SessionVersions
from baobabstream.telemetry.decision_log import DecisionLog
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["RunContext"]


@dataclass
class RunContext:
    """Configuration, servers, budgets and logs of one gateway.

    Parameters
    ----------
    settings, names
        Settings, and the names of the headers.
    directory
        Backend servers.
    sessions
        Versions that sessions run on.
    crashes
        Requests that crash servers.
    decisions
        Log of decisions.
    random
        Breaks ties.
    control_age_s
        Returns the time since a coordination host has answered.
    """

    settings: GatewaySettings
    names: HeaderNames
    directory: ServerDirectory
    sessions: SessionVersions
    crashes: CrashWatch
    decisions: DecisionLog
    random: Random
    control_age_s: Callable[[], float] = lambda: float("inf")
    times: AnswerTimes = field(default_factory=AnswerTimes)
    paces: AnswerTimes = field(default_factory=AnswerTimes)
    route_table: RouteTable | None = None
    rollouts: dict[str, RolloutRow] = field(default_factory=dict)
    rollout_revision: int = 0
    gateways: int = 1
    stopping: bool = False
    budgets: dict[str, SecondSendBudget] = field(default_factory=dict)
    background: set[asyncio.Task[None]] = field(default_factory=set)

    def retry_budget(self, service: str) -> SecondSendBudget:
        """Return the budget of second sends to a service."""
        retry_budget = self.budgets.get(service)
        if retry_budget is None:
            settings = self.settings
            retry_budget = SecondSendBudget(
                settings.retry_share, settings.retry_slack, settings.retry_window_s
            )
            self.budgets[service] = retry_budget
        return retry_budget

    def knows_servers(self) -> bool:
        """Return whether a configuration is in force and each of its services has a server."""
        return self.route_table is not None and all(
            self.directory.knows(service) for service in self.route_table.services
        )

    def on_trial(self, server: KnownServer) -> bool:
        """Return whether a server runs the target version of a rollout in progress."""
        row = self.rollouts.get(server.row.service)
        return (
            row is not None
            and row.state is RolloutState.IN_PROGRESS
            and row.target == server.row.version
        )

    def control_age_ms(self) -> int | None:
        """Return the age of what the coordination hosts have told, or None before the first."""
        age_s = self.control_age_s()
        return int(age_s * 1000) if age_s != float("inf") else None

    def candidates(self, service: str, session: str, now_s: float) -> list[KnownServer]:
        """Return the servers that may run a request of a session.

        Notes
        -----
        Without a server of the chosen version, the other version of a rollout in progress is
        allowed. A version that was rolled back, or is not part of a rollout, gets nothing. While
        no rollout is known, the version of the oldest server is the one in service.
        """
        servers = self.directory.ready(service, now_s)
        if not servers:
            return []
        row = self.rollouts.get(service)
        target = row.target if row is not None else ""
        base = row.base if row is not None else ""
        if not base:
            others = [item for item in servers if item.row.version != target]
            oldest = min(others or servers, key=lambda item: item.row.born_ms)
            base = oldest.row.version if others else ""
        on_base = [item for item in servers if item.row.version == base]
        if row is None or not target:
            return on_base or servers
        if row.state is not RolloutState.IN_PROGRESS:
            return on_base
        on_target = [item for item in servers if item.row.version == target]
        if self.sessions.on_target(row, session):
            return on_target or on_base
        return on_base or on_target
