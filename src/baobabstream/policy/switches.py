"""Switches that turn off single mechanisms of the policy, so that their effect can be measured.

A mix divides requests at random between two plans; a plan is one version, or a cascade, in which a
second version answers if the first one's answer is rated bad. Long work is a request that is
expected to occupy a server several times longer than most. A hedge is a second attempt that is sent
when the first token is late. An account's share is its weight in the queue. A straggler is a server
that is slower than the others. Exploration sends requests to versions only to get ratings of their
answers.
"""

from dataclasses import dataclass

__all__ = ["PolicySwitches"]


@dataclass(frozen=True, slots=True)
class PolicySwitches:
    """Mechanisms of the outcome policy that are on; in service all are.

    Attributes
    ----------
    admission
        Queue or refuse requests that cannot be served at once.
    fair_shares
        Serve queued requests in proportion to the shares of their client accounts.
    plan_mix
        Mix two plans, and use cascades, to meet the quality target at the least cost.
    exploration
        Send a small share of requests to versions outside the mix, to get ratings of them.
    long_separation
        Run long and short work on different servers.
    hedges
        Send hedges, and move slow streams to other servers.
    straggler_rates
        Use each server's measured latencies instead of the mean of all servers.
    prefix_credit
        Prefer servers that have the prompt's prefix cached.
    version_health
        Stop versions whose results have become worse.
    """

    admission: bool = True
    fair_shares: bool = True
    plan_mix: bool = True
    exploration: bool = True
    long_separation: bool = True
    hedges: bool = True
    straggler_rates: bool = True
    prefix_credit: bool = True
    version_health: bool = True
