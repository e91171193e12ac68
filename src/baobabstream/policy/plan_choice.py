"""Choice of the cheapest mix of plans that meets a class's targets."""

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import sqrt
from random import Random

from cachetools import LRUCache

from baobabstream.policy.latency import LatencyEstimates
from baobabstream.policy.quality import QualityEstimates
from baobabstream.policy.server_state import ServerStates
from baobabstream.policy.switches import PolicySwitches
from baobabstream.wire.rows import ClassRow, VersionRow

__all__ = ["Plan", "PlanChoice", "cheapest_mix_cost"]

# The target is compared with a version's mean less some standard deviations: as many as the
# class's delivered answers lack to meet the target at 95% confidence over all entries. An entry
# with a share of the answers has to contribute the root of that share.
CONFIDENCE_DEVIATIONS = 1.65
MAX_SAFETY_DEVIATIONS = 0.7
EXPLORATION_SHARE = 0.02
REFRESH_S = 0.5
# Time for the rating of an answer, as far as plans are concerned.
RATING_S = 0.2
LATENCY_MARGIN = 1.3
MAX_CASCADE_VERSIONS = 6
# A cascade needs this many ratings of its first version, since its latency depends on them.
MIN_CASCADE_RATINGS = 20


@dataclass(frozen=True, slots=True)
class Plan:
    """One version, or a first version whose bad answers go on to a second.

    Attributes
    ----------
    quality
        Cautious estimate of the share of good answers.
    cost
        Expected cost per 1,000 output tokens.
    meets
        Whether the mix that the plan belongs to meets the targets.
    """

    first: VersionRow
    then: VersionRow | None
    quality: float
    cost: float
    meets: bool = True
    note: str = ""

    @property
    def key(self) -> tuple[str, str]:
        """Return model and version of the first step."""
        return self.first.model, self.first.version


@dataclass(slots=True)
class _Mix:
    """Two plans of which the second is taken with a probability."""

    low: Plan
    high: Plan
    high_share: float
    made_s: float
    explore: list[Plan]


class PlanChoice:
    """Mixes plans so that the mean quality just meets the target at the least cost.

    Notes
    -----
    The cheapest mix under one quality constraint uses at most two plans, neighbours on the lower
    convex hull of cost over quality. A mix is kept for half a second.
    """

    def __init__(
        self,
        quality: QualityEstimates,
        latency: LatencyEstimates,
        states: ServerStates,
        random: Random,
        switches: PolicySwitches,
    ) -> None:
        self._quality = quality
        self._states = states
        self._latency = latency
        self._random = random
        self._switches = switches
        self._mixes: LRUCache[tuple[object, ...], _Mix] = LRUCache(4096)

    def clear(self) -> None:
        """Forget all mixes, since versions or targets have changed."""
        self._mixes.clear()

    def choose(
        self, target: ClassRow, rows: Sequence[VersionRow], output_tokens: int, now_s: float
    ) -> Plan:
        """Return the plan for one request.

        Parameters
        ----------
        target
            Class with its targets.
        rows
            Versions on which the request may run; at least one.
        output_tokens
            Expected length of the answer.
        """
        if len(rows) == 1:
            return self._single(target, rows[0])
        size = output_tokens.bit_length()
        names = tuple([(row.model, row.version) for row in rows])
        mix = self._mixes.get((target.name, size, names))
        if mix is None or now_s - mix.made_s > REFRESH_S:
            mix = self._make(target, rows, output_tokens, now_s)
            self._mixes[target.name, size, names] = mix
        if mix.explore and self._random.random() < EXPLORATION_SHARE:
            return self._random.choice(mix.explore)
        return mix.high if self._random.random() < mix.high_share else mix.low

    def alternatives(self, target: ClassRow, rows: Sequence[VersionRow]) -> list[Plan]:
        """Return the single versions that meet quality and cost, cheapest first."""
        plans = [self._single(target, row) for row in rows]
        return sorted((plan for plan in plans if plan.meets), key=lambda plan: plan.cost)

    def _single(self, target: ClassRow, row: VersionRow) -> Plan:
        estimate = self._quality.estimate(target.name, row)
        surplus = self._quality.surplus_deviations(target.name, target.quality)
        needed = CONFIDENCE_DEVIATIONS * sqrt(self._states.share)
        safety = min(MAX_SAFETY_DEVIATIONS, max(0.0, needed - surplus) / 2)
        quality = estimate.mean - safety * estimate.deviation
        cost = row.cost_per_1k_tokens
        affordable = not target.cost_per_1k_tokens or cost <= target.cost_per_1k_tokens
        return Plan(row, None, quality, cost, affordable and quality >= target.quality)

    def _make(
        self, target: ClassRow, rows: Sequence[VersionRow], output_tokens: int, now_s: float
    ) -> _Mix:
        singles = [self._single(target, row) for row in rows]
        in_time = [plan for plan in singles if self._in_time(target, plan, output_tokens)]
        usable = in_time or singles
        if self._switches.plan_mix:
            plans = usable + self._cascades(target, usable, output_tokens)
        else:
            plans = usable
        mix = self._cheapest(target, plans, now_s)
        chosen = {mix.low.key, mix.high.key}
        if self._switches.exploration:
            mix.explore = [
                Plan(plan.first, None, plan.quality, plan.cost, note="exploration")
                for plan in usable
                if plan.key not in chosen and plan.cost <= mix.high.cost
            ]
        if not in_time:
            mix.low = _marked(mix.low, "no version meets the latency target")
            mix.high = _marked(mix.high, "no version meets the latency target")
        return mix

    def _in_time(self, target: ClassRow, plan: Plan, output_tokens: int) -> bool:
        first_token_s = self._latency.first_token_s(plan.key)
        total_s = self._latency.total_s(plan.key, output_tokens)
        return (
            first_token_s * LATENCY_MARGIN <= target.first_token_ms / 1000
            and total_s * LATENCY_MARGIN <= target.total_ms / 1000
        )

    def _cascades(
        self, target: ClassRow, singles: Sequence[Plan], output_tokens: int
    ) -> list[Plan]:
        """Return the cascades for which the latency targets leave time."""
        efficient = sorted(singles, key=lambda plan: (plan.cost, -plan.quality))
        kept: list[Plan] = []
        for plan in efficient:
            if not kept or plan.quality > kept[-1].quality:
                kept.append(plan)
        kept = kept[:MAX_CASCADE_VERSIONS]
        return [
            self._cascade(first, second)
            for index, first in enumerate(kept)
            if self._quality.rating_count(target.name, first.key) >= MIN_CASCADE_RATINGS
            for second in kept[index + 1 :]
            if self._cascade_in_time(target, first, second, output_tokens)
        ]

    def _cascade(self, first: Plan, second: Plan) -> Plan:
        quality = first.quality + (1 - first.quality) * second.quality
        cost = first.cost + (1 - first.quality) * second.cost
        return Plan(first.first, second.first, quality, cost)

    def _cascade_in_time(
        self, target: ClassRow, first: Plan, second: Plan, output_tokens: int
    ) -> bool:
        rated_s = self._latency.total_s(first.key, output_tokens) + RATING_S
        first_token_s = rated_s + self._latency.first_token_s(second.key)
        total_s = rated_s + self._latency.total_s(second.key, output_tokens)
        return (
            first_token_s * LATENCY_MARGIN <= target.first_token_ms / 1000
            and total_s * LATENCY_MARGIN <= target.total_ms / 1000
        )

    def _cheapest(self, target: ClassRow, plans: Sequence[Plan], now_s: float) -> _Mix:
        limit = target.cost_per_1k_tokens
        affordable = [plan for plan in plans if not limit or plan.cost <= limit]
        best = max(affordable or plans, key=lambda plan: (plan.quality, -plan.cost))
        if not affordable:
            cheap = min(plans, key=lambda plan: plan.cost)
            marked = _marked(cheap, "no plan meets the cost target; cheapest one")
            return _Mix(marked, marked, 0.0, now_s, [])
        if best.quality < target.quality:
            marked = _marked(best, "no plan meets the quality target; best one")
            return _Mix(marked, marked, 0.0, now_s, [])
        if not self._switches.plan_mix:
            good = [plan for plan in affordable if plan.quality >= target.quality]
            cheapest = min(good, key=lambda plan: plan.cost)
            return _Mix(cheapest, cheapest, 0.0, now_s, [])
        hull = _lower_hull(affordable)
        for low, high in pairwise(hull):
            if low.quality <= target.quality <= high.quality:
                share = (target.quality - low.quality) / max(1e-9, high.quality - low.quality)
                return _Mix(low, high, share, now_s, [])
        return _Mix(hull[0], hull[0], 0.0, now_s, [])


def cheapest_mix_cost(plans: Sequence[Plan], quality: float) -> float:
    """Return the cost of the cheapest mix of plans with a mean quality; the best plan's if none."""
    hull = _lower_hull(plans)
    for low, high in pairwise(hull):
        if low.quality <= quality <= high.quality:
            share = (quality - low.quality) / max(1e-9, high.quality - low.quality)
            return low.cost + share * (high.cost - low.cost)
    return hull[-1].cost if hull[-1].quality < quality else hull[0].cost


def _marked(plan: Plan, note: str) -> Plan:
    return Plan(plan.first, plan.then, plan.quality, plan.cost, False, note)


def _lower_hull(plans: Sequence[Plan]) -> list[Plan]:
    """Return the lower convex hull of cost over quality, from the cheapest plan upward."""
    hull: list[Plan] = []
    for plan in sorted(plans, key=lambda plan: (plan.cost, -plan.quality)):
        if hull and plan.quality <= hull[-1].quality:
            continue
        while len(hull) >= 2 and _slope(hull[-2], hull[-1]) >= _slope(hull[-2], plan):
            hull.pop()
        hull.append(plan)
    return hull


def _slope(low: Plan, high: Plan) -> float:
    return (high.cost - low.cost) / max(1e-9, high.quality - low.quality)
