"""Advances the rollouts in progress while this host leads.

A rollout moves a service from its base version to a target version. Its row is the record of it in
the committed state; for instance, it holds the share (0 to 1) of the new sessions that the target
gets. Each step is a command that is committed to the replicated log, so that a new leader continues
from the last committed step. A rollout ends completed, with the target as the new base version, or
rolled back to the base version.

Gateways count the good and bad answers of each version. By these counts, a statistical test detects
a target that is worse than the base version; its result is ``log_ratio``, the natural logarithm of
a likelihood ratio. The exposure is the number of requests that the target gets during the rollout,
which is limited since it may be bad.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping

from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.regression_detector import AnswerCounts, RegressionDetector
from baobabstream.coordination.rollout_clock import RolloutClock
from baobabstream.coordination.rollout_plan import (
    Exposure,
    RolloutStep,
    is_full_share_due,
    plan_step,
)
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

# Time between two evaluations of all rollouts, in which the next step of each is determined.
TICK_INTERVAL_S = 0.2
# The elapsed time of a rollout is committed at least this often, so that a new leader continues
# close to where the last one stopped.
STORE_INTERVAL_S = 2.0
# Time from the first report of a service's servers until its present version is stored. Servers
# announce themselves every second or two, so all of them are known by then.
ADOPT_AFTER_S = 3.0


class RolloutDriver:
    """Advances the rollouts during one term, which is the time from one election to the next.

    Parameters
    ----------
    state
        Committed state.
    exchange
        Exchanges with the gateways, which hold their reports.
    propose
        Commits a command.
    decisions
        Decision log, which records what the daemon decides.
    exposure_limit
        Limit of the requests that a target version may get during its rollout; the counts of
        answers in it are not used.
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
        # By service: test of its last target version.
        self._detectors: dict[str, RegressionDetector] = {}
        self._clock = clock
        # By service and target version: time of the event loop in seconds at which this leader
        # first evaluated the rollout.
        self._observed_since_s: dict[tuple[str, str], float] = {}
        # By service: time of the event loop in seconds at which this driver first found a report of
        # its versions.
        self._first_reported_s: dict[str, float] = {}
        # By service and target version: number of answers of all versions of the service that were
        # counted before this leader first evaluated the rollout.
        self._initial_answers: dict[tuple[str, str], int] = {}
        # Services and target versions whose target was suspicious when it was due to get all
        # requests.
        self._held_back: set[tuple[str, str]] = set()
        self._exposure_limit = exposure_limit

    async def run(self) -> None:
        """Evaluate all rollouts periodically and commit their steps, until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            # ``list`` determines all commands before the first one changes the state.
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
        """Yield the commands that are due for all services.

        The row of a service without a rollout has no target. ``now_s``, here and below, is the time
        of the event loop in seconds.
        """
        yield from self._adoptions(now_s)
        for row in list(self._state.rollouts.values()):
            if row.state is RolloutState.IN_PROGRESS and row.target:
                command = self._advance(row, now_s)
                if command is not None:
                    yield command

    def _adoptions(self, now_s: float) -> Iterator[AdoptVersion]:
        """Yield a command for each service that has no version in the committed state.

        It stores the version with the most servers as the present one. ``server_counts`` holds the
        number of servers by version.
        """
        for service, server_counts in self._exchange.contacts.server_counts(now_s).items():
            first_reported_s = self._first_reported_s.setdefault(service, now_s)
            if service not in self._state.rollouts and first_reported_s + ADOPT_AFTER_S <= now_s:
                yield AdoptVersion(
                    service, max(server_counts, key=lambda version: server_counts[version])
                )

    def _advance(self, row: RolloutRow, now_s: float) -> MoveRollout | None:
        """Return the next change of a rollout, or None if nothing has to be committed.

        A rollout whose target was detected as bad is rolled back at once; otherwise its next step
        follows from the plan.
        """
        detector = self._detectors.get(row.service)
        if detector is None or detector.target != row.target:
            detector = self._detectors[row.service] = RegressionDetector(row.base, row.target)
        observed_since_s = self._observed_since_s.setdefault((row.service, row.target), now_s)
        elapsed_s = self._clock.elapsed_s(row, now_s)
        totals = self._exchange.evidence.totals(row.service)
        # ``update`` returns whether the target is detected as bad. A share of 0 and no moved
        # sessions: all sessions use the base version. On completion, with a share of 1 and moved
        # sessions, all of them use the target version.
        if detector.update(totals):
            return self._move(row, RolloutState.ROLLED_BACK, 0.0, False, elapsed_s, detector)
        exposure = self._exposure(row, totals, observed_since_s, now_s)
        key, is_suspicious = (row.service, row.target), detector.is_suspicious(row.share)
        if is_suspicious and is_full_share_due(row, elapsed_s, exposure):
            self._held_back.add(key)
        step = plan_step(
            row,
            elapsed_s,
            exposure,
            is_suspicious or (not row.settled and key in self._held_back),
            self._has_target_servers(row, now_s),
        )
        if step.rolls_back:
            return self._move(row, RolloutState.ROLLED_BACK, 0.0, False, elapsed_s, detector)
        if step.completes:
            return self._move(row, RolloutState.COMPLETED, 1.0, True, elapsed_s, detector)
        return self._apply_step(row, step, elapsed_s, detector)

    def _has_target_servers(self, row: RolloutRow, now_s: float) -> bool:
        """Return whether a server of a rollout's target version may be in service.

        A leader that has just been elected has no reports of the service's servers yet.
        """
        server_counts = self._exchange.contacts.server_counts(now_s).get(row.service)
        return not server_counts or server_counts.get(row.target, 0) > 0

    def _exposure(
        self,
        row: RolloutRow,
        totals: Mapping[str, Mapping[str, AnswerCounts]],
        observed_since_s: float,
        now_s: float,
    ) -> Exposure:
        """Return the limit of the target's requests, with the answers that were counted so far.

        The answers of the service are those since this leader first evaluated the rollout, which
        gives the rate of its requests.

        Parameters
        ----------
        row
            The rollout.
        totals
            All answers of the service that the gateways have counted, by version and server.
        observed_since_s, now_s
            Time at which this leader first evaluated the rollout, and the present time, in seconds.
        """
        answers_by_version = {
            version: sum(counts.good + counts.bad for counts in counts_by_server.values())
            for version, counts_by_server in totals.items()
        }
        all_answers = sum(answers_by_version.values())
        initial_answers = self._initial_answers.setdefault((row.service, row.target), all_answers)
        limit = self._exposure_limit
        return Exposure(
            limit.allowed_share,
            limit.allowed_extra_requests,
            target_requests=(
                answers_by_version.get(row.target, 0)
                + self._exchange.contacts.in_flight(row.service, row.target, now_s)
            ),
            service_answers=all_answers - initial_answers,
            observed_s=now_s - observed_since_s,
        )

    def _apply_step(
        self, row: RolloutRow, step: RolloutStep, elapsed_s: float, detector: RegressionDetector
    ) -> MoveRollout | None:
        """Return a command if the step changes the rollout or its elapsed time must be stored.

        Parameters
        ----------
        row
            The rollout; its field ``settled`` is ``moves_sessions`` of the last committed step.
        step
            Present step of the rollout.
        elapsed_s
            Seconds since the start of the rollout.
        detector
            Test of the target version, whose result is logged.
        """
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
        """Return the command for a new state, and log it if the state or the share changes.

        Parameters
        ----------
        row
            The rollout as committed.
        state, share
            Its new state, and the new share of the new sessions that the target version gets.
        moves_sessions
            Whether sessions that began on the base version move to the target too. It becomes the
            field ``settled`` of the row.
        elapsed_s
            Seconds since the start of the rollout.
        detector
            Test of the target version, whose result is logged.
        """
        if (row.state, row.share) != (state, share):
            self._decisions.record(
                DecisionEvent.ROLLOUT_CHANGED,
                service=row.service,
                target=row.target,
                state=state,
                share=share,
                # Rounded to hundredths, for the readers of the decision log.
                elapsed_s=round(elapsed_s, 2),
                log_ratio=round(detector.log_ratio, 2),
                target_streams=detector.target_streams,
                base_streams=detector.base_streams,
                pace_quotient=round(detector.pace_quotient, 2),
            )
        return MoveRollout(row.service, row.target, state, share, moves_sessions, elapsed_s)
