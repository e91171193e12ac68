"""Advances the rollouts in progress while this host leads.

A rollout moves a service from its base version to a target version. Each step is a command that is
committed to the replicated log, so that a new leader continues from the last committed step.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping

from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.regression_detector import AnswerCounts, RegressionDetector
from baobabstream.coordination.rollout_clock import RolloutClock
from baobabstream.coordination.rollout_plan import Exposure, RolloutStep, plan_step
from baobabstream.coordination.state import (
    AdoptVersion,
    CoordinationCommand,
    CoordinationState,
    MoveRollout,
)
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["RolloutDriver"]

# Time between two evaluations of all rollouts.
TICK_INTERVAL_S = 0.2
# The elapsed time of a rollout is committed at least this often, so that a new leader continues
# close to where the last one stopped.
STORE_INTERVAL_S = 2.0
# Servers announce themselves every second or two, so after this time all servers of a service
# are known and its present version can be determined.
ADOPT_AFTER_S = 3.0


class RolloutDriver:
    """Advances the rollouts during one term of this leader.

    Parameters
    ----------
    state
        Committed state.
    exchange
        Reports of the gateways.
    propose
        Commits a command.
    decisions
        Log of decisions.
    exposure_limit
        Limit of the requests that an unproven version may get; its counts are not used.
    clock
        Measures the time since the start of each rollout, also before this host led.
    """

    def __init__(
        self,
        state: CoordinationState,
        exchange: ExchangeService,
        propose: Callable[[CoordinationCommand], Awaitable[None]],
        decisions: DecisionLog,
        exposure_limit: Exposure,
        clock: RolloutClock,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._propose = propose
        self._decisions = decisions
        # By service.
        self._detectors: dict[str, RegressionDetector] = {}
        self._clock = clock
        # By service and target version: time at which this leader first evaluated the rollout.
        self._observed_since_s: dict[tuple[str, str], float] = {}
        # By service: time at which a gateway first reported its versions.
        self._first_reported_s: dict[str, float] = {}
        # By service and target version: answers of the service at the first evaluation.
        self._initial_answers: dict[tuple[str, str], int] = {}
        self._exposure_limit = exposure_limit

    async def run(self) -> None:
        """Evaluate all rollouts periodically and commit their steps, until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            for command in list(self._commands(now_s)):
                try:
                    await self._propose(command)
                except BaobabstreamError as error:
                    # The next evaluation starts from the state that is committed then.
                    self._decisions.record(
                        DecisionEvent.ORDER_DECIDED,
                        order=type(command).__name__,
                        outcome="not committed",
                        detail=str(error),
                    )
            await asyncio.sleep(TICK_INTERVAL_S)

    def _commands(self, now_s: float) -> Iterator[CoordinationCommand]:
        """Yield the commands that are due for all services."""
        yield from self._adoptions(now_s)
        for row in list(self._state.rollouts.values()):
            if row.state is RolloutState.IN_PROGRESS and row.target:
                command = self._advance(row, now_s)
                if command is not None:
                    yield command

    def _adoptions(self, now_s: float) -> Iterator[AdoptVersion]:
        """Yield the present version of each service that has none in the committed state.

        It is the version with the most servers.
        """
        for service, server_counts in self._exchange.contacts.server_counts(now_s).items():
            first_reported_s = self._first_reported_s.setdefault(service, now_s)
            if service not in self._state.rollouts and first_reported_s + ADOPT_AFTER_S <= now_s:
                yield AdoptVersion(
                    service, max(server_counts, key=lambda version: server_counts[version])
                )

    def _advance(self, row: RolloutRow, now_s: float) -> MoveRollout | None:
        """Return the next change of a rollout, or None if nothing has to be committed."""
        detector = self._detectors.get(row.service)
        if detector is None or detector.target != row.target:
            detector = self._detectors[row.service] = RegressionDetector(row.base, row.target)
        observed_since_s = self._observed_since_s.setdefault((row.service, row.target), now_s)
        elapsed_s = self._clock.elapsed_s(row, now_s)
        totals = self._exchange.evidence.totals(row.service)
        if detector.update(totals):
            return self._move(row, RolloutState.ROLLED_BACK, 0.0, False, elapsed_s, detector)
        step = plan_step(
            row,
            elapsed_s,
            self._exposure(row, totals, now_s - observed_since_s),
            detector.log_ratio,
        )
        if step.rolls_back:
            return self._move(row, RolloutState.ROLLED_BACK, 0.0, False, elapsed_s, detector)
        if step.completes:
            return self._move(row, RolloutState.COMPLETED, 1.0, True, elapsed_s, detector)
        return self._apply_step(row, step, elapsed_s, detector)

    def _exposure(
        self, row: RolloutRow, totals: Mapping[str, Mapping[str, AnswerCounts]], observed_s: float
    ) -> Exposure:
        """Return the limit of a rollout's requests with the answers that were counted.

        Parameters
        ----------
        row
            The rollout.
        totals
            All answers of the service, by version and server.
        observed_s
            Seconds since this leader first evaluated the rollout.
        """
        answers_by_version = {
            version: sum(counts.good + counts.bad for counts in servers.values())
            for version, servers in totals.items()
        }
        all_answers = sum(answers_by_version.values())
        initial_answers = self._initial_answers.setdefault((row.service, row.target), all_answers)
        limit = self._exposure_limit
        return Exposure(
            limit.allowed_share,
            limit.allowed_extra_requests,
            target_answers=answers_by_version.get(row.target, 0),
            service_answers=all_answers - initial_answers,
            observed_s=observed_s,
        )

    def _apply_step(
        self, row: RolloutRow, step: RolloutStep, elapsed_s: float, detector: RegressionDetector
    ) -> MoveRollout | None:
        """Return a command if the step changes the rollout or its elapsed time must be stored."""
        is_changed = (row.share, row.settled) != (step.share, step.moves_sessions)
        if not is_changed and elapsed_s < row.elapsed_s + STORE_INTERVAL_S:
            return None
        return self._move(row, row.state, step.share, step.moves_sessions, elapsed_s, detector)

    def _move(
        self,
        row: RolloutRow,
        state: RolloutState,
        share: float,
        moves_sessions: bool,
        elapsed_s: float,
        detector: RegressionDetector,
    ) -> MoveRollout:
        """Return the command for a new state, and log it if the state or the share changes."""
        if (row.state, row.share) != (state, share):
            self._decisions.record(
                DecisionEvent.ROLLOUT_CHANGED,
                service=row.service,
                target=row.target,
                state=state,
                share=share,
                elapsed_s=round(elapsed_s, 2),
                log_ratio=round(detector.log_ratio, 2),
            )
        return MoveRollout(row.service, row.target, state, share, moves_sessions, elapsed_s)
