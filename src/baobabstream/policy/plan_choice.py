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
MIX_LIFETIME_S = 0.5
# Time for the rating of an answer, as far as plans are concerned.
EXPECTED_RATING_S = 0.2
LATENCY_MARGIN_FACTOR = 1.3
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

    first_version: VersionRow
    second_version: VersionRow | None
    quality: float
    cost: float
    meets_targets: bool = True
    note: str = ""

    @property
    def version_key(self) -> tuple[str, str]:
        """Return model and version of the first step."""
        return self.first_version.model, self.first_version.version


@dataclass(slots=True)
class _Mix:
    """Two plans of which the second is taken with a probability."""

    low: Plan
    high: Plan
    high_share: float
    built_at_s: float
    exploration_plans: list[Plan]


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
        self,
        class_targets: ClassRow,
        version_rows: Sequence[VersionRow],
        output_tokens: int,
        now_s: float,
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
        if len(version_rows) == 1:
            return self._single_version_plan(class_targets, version_rows[0])
        length_bucket = output_tokens.bit_length()
        version_keys = tuple(
            [(version_row.model, version_row.version) for version_row in version_rows]
        )
        mix = self._mixes.get((class_targets.name, length_bucket, version_keys))
        if mix is None or now_s - mix.built_at_s > MIX_LIFETIME_S:
            mix = self._build_mix(class_targets, version_rows, output_tokens, now_s)
            self._mixes[class_targets.name, length_bucket, version_keys] = mix
        if mix.exploration_plans and self._random.random() < EXPLORATION_SHARE:
            return self._random.choice(mix.exploration_plans)
        return mix.high if self._random.random() < mix.high_share else mix.low

    def alternatives(
        self, class_targets: ClassRow, version_rows: Sequence[VersionRow]
    ) -> list[Plan]:
        """Return the single versions that meet quality and cost, cheapest first."""
        plans = [
            self._single_version_plan(class_targets, version_row) for version_row in version_rows
        ]
        return sorted((plan for plan in plans if plan.meets_targets), key=lambda plan: plan.cost)

    def _single_version_plan(self, class_targets: ClassRow, version_row: VersionRow) -> Plan:
        estimate = self._quality.estimate(class_targets.name, version_row)
        surplus_deviations = self._quality.surplus_deviations(
            class_targets.name, class_targets.quality
        )
        needed_deviations = CONFIDENCE_DEVIATIONS * sqrt(self._states.share)
        safety_deviations = min(
            MAX_SAFETY_DEVIATIONS, max(0.0, needed_deviations - surplus_deviations) / 2
        )
        quality = estimate.mean - safety_deviations * estimate.deviation
        cost = version_row.cost_per_1k_tokens
        is_affordable = (
            not class_targets.cost_per_1k_tokens or cost <= class_targets.cost_per_1k_tokens
        )
        return Plan(
            version_row, None, quality, cost, is_affordable and quality >= class_targets.quality
        )

    def _build_mix(
        self,
        class_targets: ClassRow,
        version_rows: Sequence[VersionRow],
        output_tokens: int,
        now_s: float,
    ) -> _Mix:
        single_plans = [
            self._single_version_plan(class_targets, version_row) for version_row in version_rows
        ]
        plans_in_time = [
            plan
            for plan in single_plans
            if self._meets_latency_targets(class_targets, plan, output_tokens)
        ]
        usable_plans = plans_in_time or single_plans
        if self._switches.plan_mix:
            plans = usable_plans + self._cascade_plans(class_targets, usable_plans, output_tokens)
        else:
            plans = usable_plans
        mix = self._cheapest_mix(class_targets, plans, now_s)
        chosen_keys = {mix.low.version_key, mix.high.version_key}
        if self._switches.exploration:
            mix.exploration_plans = [
                Plan(plan.first_version, None, plan.quality, plan.cost, note="exploration")
                for plan in usable_plans
                if plan.version_key not in chosen_keys and plan.cost <= mix.high.cost
            ]
        if not plans_in_time:
            mix.low = _with_missed_target(mix.low, "no version meets the latency target")
            mix.high = _with_missed_target(mix.high, "no version meets the latency target")
        return mix

    def _meets_latency_targets(
        self, class_targets: ClassRow, plan: Plan, output_tokens: int
    ) -> bool:
        first_token_s = self._latency.first_s(plan.version_key)
        total_s = self._latency.total_s(plan.version_key, output_tokens)
        return (
            first_token_s * LATENCY_MARGIN_FACTOR <= class_targets.first_token_ms / 1000
            and total_s * LATENCY_MARGIN_FACTOR <= class_targets.total_ms / 1000
        )

    def _cascade_plans(
        self, class_targets: ClassRow, single_plans: Sequence[Plan], output_tokens: int
    ) -> list[Plan]:
        """Return the cascades for which the latency targets leave time."""
        plans_by_cost = sorted(single_plans, key=lambda plan: (plan.cost, -plan.quality))
        efficient_plans: list[Plan] = []
        for plan in plans_by_cost:
            if not efficient_plans or plan.quality > efficient_plans[-1].quality:
                efficient_plans.append(plan)
        efficient_plans = efficient_plans[:MAX_CASCADE_VERSIONS]
        return [
            self._cascade_plan(first_plan, second_plan)
            for index, first_plan in enumerate(efficient_plans)
            if self._quality.ratings(class_targets.name, first_plan.version_key)
            >= MIN_CASCADE_RATINGS
            for second_plan in efficient_plans[index + 1 :]
            if self._cascade_meets_latency_targets(
                class_targets, first_plan, second_plan, output_tokens
            )
        ]

    def _cascade_plan(self, first_plan: Plan, second_plan: Plan) -> Plan:
        quality = first_plan.quality + (1 - first_plan.quality) * second_plan.quality
        cost = first_plan.cost + (1 - first_plan.quality) * second_plan.cost
        return Plan(first_plan.first_version, second_plan.first_version, quality, cost)

    def _cascade_meets_latency_targets(
        self, class_targets: ClassRow, first_plan: Plan, second_plan: Plan, output_tokens: int
    ) -> bool:
        rated_s = self._latency.total_s(first_plan.version_key, output_tokens) + EXPECTED_RATING_S
        first_token_s = rated_s + self._latency.first_s(second_plan.version_key)
        total_s = rated_s + self._latency.total_s(second_plan.version_key, output_tokens)
        return (
            first_token_s * LATENCY_MARGIN_FACTOR <= class_targets.first_token_ms / 1000
            and total_s * LATENCY_MARGIN_FACTOR <= class_targets.total_ms / 1000
        )

    def _cheapest_mix(self, class_targets: ClassRow, plans: Sequence[Plan], now_s: float) -> _Mix:
        max_cost = class_targets.cost_per_1k_tokens
        affordable_plans = [plan for plan in plans if not max_cost or plan.cost <= max_cost]
        best_plan = max(affordable_plans or plans, key=lambda plan: (plan.quality, -plan.cost))
        if not affordable_plans:
            cheapest_plan = min(plans, key=lambda plan: plan.cost)
            annotated_plan = _with_missed_target(
                cheapest_plan, "no plan meets the cost target; cheapest one"
            )
            return _Mix(annotated_plan, annotated_plan, 0.0, now_s, [])
        if best_plan.quality < class_targets.quality:
            annotated_plan = _with_missed_target(
                best_plan, "no plan meets the quality target; best one"
            )
            return _Mix(annotated_plan, annotated_plan, 0.0, now_s, [])
        if not self._switches.plan_mix:
            good_enough_plans = [
                plan for plan in affordable_plans if plan.quality >= class_targets.quality
            ]
            cheapest_plan = min(good_enough_plans, key=lambda plan: plan.cost)
            return _Mix(cheapest_plan, cheapest_plan, 0.0, now_s, [])
        hull = _lower_hull(affordable_plans)
        for low, high in pairwise(hull):
            if low.quality <= class_targets.quality <= high.quality:
                high_share = (class_targets.quality - low.quality) / max(
                    1e-9, high.quality - low.quality
                )
                return _Mix(low, high, high_share, now_s, [])
        return _Mix(hull[0], hull[0], 0.0, now_s, [])


def cheapest_mix_cost(plans: Sequence[Plan], quality: float) -> float:
    """Return the cost of the cheapest mix of plans with a mean quality; the best plan's if none."""
    hull = _lower_hull(plans)
    for low, high in pairwise(hull):
        if low.quality <= quality <= high.quality:
            high_share = (quality - low.quality) / max(1e-9, high.quality - low.quality)
            return low.cost + high_share * (high.cost - low.cost)
    return hull[-1].cost if hull[-1].quality < quality else hull[0].cost


def _with_missed_target(plan: Plan, note: str) -> Plan:
    return Plan(plan.first_version, plan.second_version, plan.quality, plan.cost, False, note)


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
