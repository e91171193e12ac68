"""Texts that explain to an operator why a request was routed as it was.

A mix divides requests at random between two plans.
"""

from baobabstream.policy.active_request import ActiveRequest
from baobabstream.policy.backend_choice import ServerChoice

__all__ = ["choice_reason", "plan_reason"]


def choice_reason(server_choice: ServerChoice) -> str:
    """Describe the chosen backend server with its expected latencies.

    "best of" is the largest number of servers that could be compared for the choice.
    """
    cached_text = (
        f", {server_choice.cached_prompt_share:.0%} of the prompt cached"
        if server_choice.cached_prompt_share
        else ""
    )
    return (
        f"{server_choice.identity}: first token in {server_choice.first_token_s:.3f} s, "
        f"whole answer in {server_choice.total_s:.2f} s, "
        f"best of {server_choice.sample_limit}{cached_text}"
    )


def plan_reason(active_request: ActiveRequest) -> str:
    """Describe a request's plan and how it compares with the class's targets.

    A plan is one version, or a cascade of two: the second one answers if the first one's answer is
    rated bad. Quality is the share of good answers, and cost is per 1,000 output tokens. The text
    is a prefix for ``choice_reason``.
    """
    plan = active_request.plan
    version_text = f"{plan.first_version.model}@{plan.first_version.version}"
    if plan.second_version is not None:
        version_text += f" then {plan.second_version.model}@{plan.second_version.version}"
    targets_text = "meets" if plan.meets_targets else "misses"
    note_text = f" ({plan.note})" if plan.note else ""
    return (
        f"{version_text}: quality {plan.quality:.3f}, "
        f"target {active_request.class_targets.quality:.3f}, "
        f"cost {plan.cost:.3g}, mix {targets_text} targets{note_text}; "
    )
