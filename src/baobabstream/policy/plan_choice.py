"""Choice of the cheapest mix of plans that meets a work class's targets.

A plan is one version, or a cascade: an answer of the first version that is rated bad is replaced
by one of the second version. A mix is a pair of plans between which requests are divided at random
with a fixed probability. A plan is for exploration if its version is tried only to get ratings.

An entry is a host process that accepts requests; its share is its fraction of all requests in
flight at all entries. Answers are rated good or bad; quality is the share of good ones, from 0 to
1. A version key is the pair of model name and version. A work class is a name for targets of
quality, latency (in milliseconds in its row) and cost (per 1,000 output tokens, in the unit of the
configured costs; 0 sets no target).
"""

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

# The delivered answers of a class must exceed its quality target by this many standard deviations
# over all entries, which is 95% confidence. An entry with a share of the answers has to contribute
# the square root of that share. Half of what is lacking is a safety margin: a version counts with
# its mean quality less that many, at most MAX_SAFETY_DEVIATIONS, of its standard deviations.
CONFIDENCE_DEVIATIONS = 1.65
MAX_SAFETY_DEVIATIONS = 0.7
# Share of requests that run on a plan outside the mix, so that its version gets ratings.
EXPLORATION_SHARE = 0.02
# A mix is recomputed when it is older.
MIX_LIFETIME_S = 0.5
# Time that the rating of an answer is assumed to take when cascades are planned.
EXPECTED_RATING_S = 0.2
# Expected latencies times this factor must be within the targets.
LATENCY_MARGIN_FACTOR = 1.3
# Cascades combine only this many of the cheapest versions that no other beats in cost and quality.
MAX_CASCADE_VERSIONS = 6
# Ratings that the first version of a cascade needs in the class. The latency and cost of a cascade
# depend on how often the first answer is bad.
MIN_CASCADE_RATINGS = 20


@dataclass(frozen=True, slots=True)
class Plan:
    """One version, or a cascade of two versions.

    Attributes
    ----------
    first_version
        Version that answers first.
    second_version
        Version that answers when the first answer is rated bad, or None without a cascade.
    quality
        Cautious estimate of the share of good answers.
    cost
        Expected cost per 1,000 output tokens.
    meets_targets
        Whether the mix that the plan belongs to meets the targets.
    note
        Why the plan was chosen, if it is for exploration or misses a target; shown to the operator.
    """

    first_version: VersionRow
    second_version: VersionRow | None
    quality: float
    cost: float
    meets_targets: bool = True
    note: str = ""

    @property
    def version_key(self) -> tuple[str, str]:
        """Model and version that answer first."""
        return self.first_version.model, self.first_version.version


@dataclass(slots=True)
class _Mix:
    """Division of requests between two plans.

    Attributes
    ----------
    low, high
        The plan with the lower and the one with the higher cost and quality; the same if one plan
        suffices.
    high_share
        Probability of the high plan.
    built_at_s
        Time at which the mix was computed.
    exploration_plans
        Plans outside the mix, tried now and then to get ratings.
    """

    low: Plan
    high: Plan
    high_share: float
    built_at_s: float
    exploration_plans: list[Plan]


class PlanChoice:
    """Mixes plans so that the mean quality just meets the target at the least cost.

    Parameters
    ----------
    quality, latency
        Estimates of the quality and latency of each version.
    states
        States of the servers, which give this entry's share of all requests.
    random
        Source of all random choices.
    switches
        Mechanisms that are on.

    Notes
    -----
    The cheapest mix under one quality constraint uses at most two plans, neighbours on the lower
    convex hull of cost over quality. A mix is recomputed when it is older than ``MIX_LIFETIME_S``.
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
        # Up to 4,096 mixes by class name, bucket of answer length and version keys.
        self._mixes: LRUCache[tuple[object, ...], _Mix] = LRUCache(4096)

    def clear(self) -> None:
        """Discard all mixes, since versions or targets have changed."""
        self._mixes.clear()

    def choose(
        self,
        class_targets: ClassRow,
        version_rows: Sequence[VersionRow],
        output_tokens: int,
        now_s: float,
    ) -> Plan:
        """Return the plan for one request.

        Mixes are shared by requests of one class, the same versions and answers of about the same
        length: lengths with equal bit length, that is within a factor of two.

        Parameters
        ----------
        class_targets
            Row of the work class, with its targets.
        version_rows
            Versions on which the request may run; at least one.
        output_tokens
            Expected length of the answer, in tokens.
        now_s
            Present time, in seconds.
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
        """Return the single-version plans that meet quality and cost targets, cheapest first.

        They are for requests for whose chosen plan no server has capacity; latency targets are not
        checked.
        """
        plans = [
            self._single_version_plan(class_targets, version_row) for version_row in version_rows
        ]
        return sorted((plan for plan in plans if plan.meets_targets), key=lambda plan: plan.cost)

    def _single_version_plan(self, class_targets: ClassRow, version_row: VersionRow) -> Plan:
        """Return the plan of one version with a lower confidence bound of its quality.

        The margin below the posterior mean is half of what the delivered answers of the class lack,
        in standard deviations, to show at 95% confidence that the target is met.
        """
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
        """Compute the cheapest mix of versions that meet the latency targets.

        If no version meets them, all versions are considered and the mix is marked as missing a
        target. Plans for exploration are those of the other usable versions that cost no more than
        the mix's dearer plan. ``output_tokens`` is the expected length of the answer.
        """
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
        """Return whether a single-version plan meets both latency targets with the margin."""
        first_token_s = self._latency.first_token_s(plan.version_key)
        total_s = self._latency.total_s(plan.version_key, output_tokens)
        return (
            first_token_s * LATENCY_MARGIN_FACTOR <= class_targets.first_token_ms / 1000
            and total_s * LATENCY_MARGIN_FACTOR <= class_targets.total_ms / 1000
        )

    def _cascade_plans(
        self, class_targets: ClassRow, single_plans: Sequence[Plan], output_tokens: int
    ) -> list[Plan]:
        """Return the cascades that meet the latency targets.

        Only versions with no cheaper and better alternative are combined, and the first version
        must have enough ratings.
        """
        plans_by_cost = sorted(single_plans, key=lambda plan: (plan.cost, -plan.quality))
        efficient_plans: list[Plan] = []
        for plan in plans_by_cost:
            if not efficient_plans or plan.quality > efficient_plans[-1].quality:
                efficient_plans.append(plan)
        efficient_plans = efficient_plans[:MAX_CASCADE_VERSIONS]
        return [
            self._cascade_plan(first_plan, second_plan)
            for index, first_plan in enumerate(efficient_plans)
            if self._quality.rating_count(class_targets.name, first_plan.version_key)
            >= MIN_CASCADE_RATINGS
            for second_plan in efficient_plans[index + 1 :]
            if self._cascade_meets_latency_targets(
                class_targets, first_plan, second_plan, output_tokens
            )
        ]

    def _cascade_plan(self, first_plan: Plan, second_plan: Plan) -> Plan:
        """Return the cascade of two single-version plans.

        The second version answers only if the first answer is bad, so a good answer comes from the
        first version or, with the probability that this fails, from the second one.
        """
        quality = first_plan.quality + (1 - first_plan.quality) * second_plan.quality
        cost = first_plan.cost + (1 - first_plan.quality) * second_plan.cost
        return Plan(first_plan.first_version, second_plan.first_version, quality, cost)

    def _cascade_meets_latency_targets(
        self, class_targets: ClassRow, first_plan: Plan, second_plan: Plan, output_tokens: int
    ) -> bool:
        """Return whether a cascade meets both latency targets, with the margin, when its second
        version answers.
        """
        rated_after_s = (
            self._latency.total_s(first_plan.version_key, output_tokens) + EXPECTED_RATING_S
        )
        first_token_s = rated_after_s + self._latency.first_token_s(second_plan.version_key)
        total_s = rated_after_s + self._latency.total_s(second_plan.version_key, output_tokens)
        return (
            first_token_s * LATENCY_MARGIN_FACTOR <= class_targets.first_token_ms / 1000
            and total_s * LATENCY_MARGIN_FACTOR <= class_targets.total_ms / 1000
        )

    def _cheapest_mix(self, class_targets: ClassRow, plans: Sequence[Plan], now_s: float) -> _Mix:
        """Return the cheapest mix that meets the quality target.

        If no plan is within the cost target, that is the cheapest plan; if no affordable plan
        reaches the quality target, it is the best of them. A mix of one plan has it as both plans
        and 0 as the share of the high one. The probability of the high plan is such that the mean
        quality equals the target; 1e-9 avoids a division by zero when both plans are equally good.
        """
        max_cost = class_targets.cost_per_1k_tokens
        affordable_plans = [plan for plan in plans if not max_cost or plan.cost <= max_cost]
        best_plan = max(affordable_plans or plans, key=lambda plan: (plan.quality, -plan.cost))
        if not affordable_plans:
            least_cost_plan = min(plans, key=lambda plan: plan.cost)
            annotated_plan = _with_missed_target(
                least_cost_plan, "no plan meets the cost target; cheapest one"
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
    """Return the least cost, per 1,000 output tokens, of a mix of plans with a mean quality.

    Returns the cost of the best plan if none reaches the quality, and of the cheapest plan if that
    alone exceeds it. 1e-9 avoids a division by zero.
    """
    hull = _lower_hull(plans)
    for low, high in pairwise(hull):
        if low.quality <= quality <= high.quality:
            high_share = (quality - low.quality) / max(1e-9, high.quality - low.quality)
            return low.cost + high_share * (high.cost - low.cost)
    return hull[-1].cost if hull[-1].quality < quality else hull[0].cost


def _with_missed_target(plan: Plan, note: str) -> Plan:
    """Return a copy of a plan that is marked as missing a target, with a note for the operator."""
    # False: ``meets_targets``.
    return Plan(plan.first_version, plan.second_version, plan.quality, plan.cost, False, note)


def _lower_hull(plans: Sequence[Plan]) -> list[Plan]:
    """Return the lower convex hull of cost over quality, from the cheapest plan upward.

    Plans that another one beats in cost and quality are left out, and so are plans that a mix of
    two others beats: a plan is removed when the slope to it is not below the slope past it.
    """
    hull: list[Plan] = []
    for plan in sorted(plans, key=lambda plan: (plan.cost, -plan.quality)):
        if hull and plan.quality <= hull[-1].quality:
            continue
        while len(hull) >= 2 and _slope(hull[-2], hull[-1]) >= _slope(hull[-2], plan):
            hull.pop()
        hull.append(plan)
    return hull


def _slope(low: Plan, high: Plan) -> float:
    """Return the additional cost per unit of additional quality between two plans.

    1e-9 avoids a division by zero when both plans are equally good.
    """
    return (high.cost - low.cost) / max(1e-9, high.quality - low.quality)
