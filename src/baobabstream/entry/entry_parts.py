"""The parts of an entry host that its request handlers use."""

from dataclasses import dataclass
from random import Random

from baobabstream.backends.engine_client import EngineClient
from baobabstream.backends.probe import Prober
from baobabstream.backends.rating_client import RatingClient
from baobabstream.backends.service_client import ServiceClient
from baobabstream.billing.bill_sender import BillSender
from baobabstream.entry.caller_access import CallerAccess
from baobabstream.entry.claims import Claims
from baobabstream.entry.decision_loop import DecisionLoop
from baobabstream.entry.leader_calls import BackgroundCalls
from baobabstream.entry.sessions import SessionTokens
from baobabstream.entry.suspects import SuspectReporter
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import EntrySettings
from baobabstream.telemetry.timeline import TimeLine

__all__ = ["EntryParts"]


@dataclass(frozen=True, slots=True)
class EntryParts:
    """What the daemon hands to the handlers; ``ratings`` is None without a rating service."""

    settings: EntrySettings
    access: CallerAccess
    view: ClusterView
    decisions: DecisionLoop
    sessions: SessionTokens
    bills: BillSender
    background: BackgroundCalls
    suspects: SuspectReporter
    claims: Claims
    engines: EngineClient
    services: ServiceClient
    prober: Prober
    ratings: RatingClient | None
    timeline: TimeLine
    random: Random
