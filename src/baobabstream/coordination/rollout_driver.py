"""Moves rollouts along while this host leads."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator, Mapping

from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.rollout_clock import RolloutClock
from baobabstream.coordination.rollout_judge import AnswerCounts, RolloutJudge
from baobabstream.coordination.rollout_plan import Exposure, RolloutStep, planned_step
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

TICK_S = 0.2
# The progress is stored this often, so that a new leader goes on close to where the last one was.
STORE_INTERVAL_S = 2.0
# Servers announce themselves every second or two; after this time all have been heard.
ADOPT_AFTER_S = 3.0


class RolloutDriver:
    """Rollouts of one term.

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
    limits
        Limit of the requests that an unproven version may get.
    clock
        Time of the rollouts as this host has seen it, also before it led.
    """

    def __init__(
        self,
        state: CoordinationState,
        exchange: ExchangeService,
        propose: Callable[[CoordinationCommand], Awaitable[None]],
        decisions: DecisionLog,
        limits: Exposure,
        clock: RolloutClock,
    ) -> None:
        self._state = state
        self._exchange = exchange
        self._propose = propose
        self._decisions = decisions
        self._judges: dict[str, RolloutJudge] = {}
        self._clock = clock
        self._followed_since_s: dict[tuple[str, str], float] = {}
        self._seen_s: dict[str, float] = {}
        self._began_with: dict[tuple[str, str], int] = {}
        self._limits = limits

    async def run(self) -> None:
        """Drive until cancelled."""
        while True:
            now_s = asyncio.get_running_loop().time()
            for command in list(self._commands(now_s)):
                try:
                    await self._propose(command)
                except BaobabstreamError as error:
                    # The next tick decides again from what is committed then.
                    self._decisions.record(
                        DecisionEvent.ORDER_DECIDED,
                        order=type(command).__name__,
                        outcome="not committed",
                        detail=str(error),
                    )
            await asyncio.sleep(TICK_S)

    def _commands(self, now_s: float) -> Iterator[CoordinationCommand]:
        yield from self._adoptions(now_s)
        for row in list(self._state.rollouts.values()):
            if row.state is RolloutState.IN_PROGRESS and row.target:
                command = self._advance(row, now_s)
                if command is not None:
                    yield command

    def _adoptions(self, now_s: float) -> Iterator[AdoptVersion]:
        for service, versions in self._exchange.contacts.versions(now_s).items():
            first_s = self._seen_s.setdefault(service, now_s)
            if service not in self._state.rollouts and first_s + ADOPT_AFTER_S <= now_s:
                yield AdoptVersion(service, max(versions, key=lambda item: versions[item]))

    def _advance(self, row: RolloutRow, now_s: float) -> MoveRollout | None:
        judge = self._judges.get(row.service)
        if judge is None or judge.target != row.target:
            judge = self._judges[row.service] = RolloutJudge(row.base, row.target)
        since_s = self._followed_since_s.setdefault((row.service, row.target), now_s)
        elapsed_s = self._clock.elapsed_s(row, now_s)
        totals = self._exchange.evidence.totals(row.service)
        if judge.judge(totals):
            return self._move(row, RolloutState.ROLLED_BACK, 0.0, False, elapsed_s, judge)
        step = planned_step(
            row, elapsed_s, self._exposure(row, totals, now_s - since_s), judge.log_ratio
        )
        if step.give_up:
            return self._move(row, RolloutState.ROLLED_BACK, 0.0, False, elapsed_s, judge)
        if step.complete:
            return self._move(row, RolloutState.COMPLETED, 1.0, True, elapsed_s, judge)
        return self._step(row, step, elapsed_s, judge)

    def _exposure(
        self, row: RolloutRow, totals: Mapping[str, Mapping[str, AnswerCounts]], seen_s: float
    ) -> Exposure:
        """Return the answers that this leader has counted in the time it followed the rollout."""
        counts = {
            version: sum(item.good + item.bad for item in servers.values())
            for version, servers in totals.items()
        }
        everything = sum(counts.values())
        began = self._began_with.setdefault((row.service, row.target), everything)
        limits = self._limits
        return Exposure(
            limits.limit_share,
            limits.limit_slack,
            target_answers=counts.get(row.target, 0),
            all_answers=everything - began,
            seen_s=seen_s,
        )

    def _step(
        self, row: RolloutRow, step: RolloutStep, elapsed_s: float, judge: RolloutJudge
    ) -> MoveRollout | None:
        changed = (row.share, row.settled) != (step.share, step.settled)
        if not changed and elapsed_s < row.elapsed_s + STORE_INTERVAL_S:
            return None
        return self._move(row, row.state, step.share, step.settled, elapsed_s, judge)

    def _move(
        self,
        row: RolloutRow,
        state: RolloutState,
        share: float,
        settled: bool,
        elapsed_s: float,
        judge: RolloutJudge,
    ) -> MoveRollout:
        if (row.state, row.share) != (state, share):
            self._decisions.record(
                DecisionEvent.ROLLOUT_CHANGED,
                service=row.service,
                target=row.target,
                state=state,
                share=share,
                elapsed_s=round(elapsed_s, 2),
                log_ratio=round(judge.log_ratio, 2),
            )
        return MoveRollout(row.service, row.target, state, share, settled, elapsed_s)
