"""Switches of the policy's mechanisms, for measurements of one mechanism at a time."""

from dataclasses import dataclass

__all__ = ["PolicySwitches"]


@dataclass(frozen=True, slots=True)
class PolicySwitches:
    """Which mechanisms are on; all are on in service."""

    admission: bool = True
    fair_shares: bool = True
    plan_mix: bool = True
    exploration: bool = True
    long_separation: bool = True
    hedges: bool = True
    straggler_rates: bool = True
    prefix_credit: bool = True
    version_health: bool = True
