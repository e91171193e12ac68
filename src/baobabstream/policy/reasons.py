"""Texts that tell an operator why a request was decided as it was."""

from baobabstream.policy.backend_choice import ServerChoice
from baobabstream.policy.running import Running

__all__ = ["choice_reason", "plan_reason"]


def choice_reason(choice: ServerChoice) -> str:
    """Return why a backend server was chosen."""
    cached = (
        f", {choice.cached_prompt_share:.0%} of the prompt cached"
        if choice.cached_prompt_share
        else ""
    )
    return (
        f"{choice.identity}: first token in {choice.first_token_s:.3f} s, "
        f"whole answer in {choice.total_s:.2f} s, best of {choice.sample_limit}{cached}"
    )


def plan_reason(running: Running) -> str:
    """Return which plan a request takes, and how it compares with the targets."""
    plan = running.plan
    name = f"{plan.first.model}@{plan.first.version}"
    if plan.then is not None:
        name += f" then {plan.then.model}@{plan.then.version}"
    met = "meets" if plan.meets else "misses"
    note = f" ({plan.note})" if plan.note else ""
    return (
        f"{name}: quality {plan.quality:.3f}, target {running.target.quality:.3f}, "
        f"cost {plan.cost:.3g}, mix {met} targets{note}; "
    )
