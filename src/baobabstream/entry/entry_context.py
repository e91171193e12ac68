"""The objects of an entry host that its request handlers share.

An entry host accepts the HTTP requests of callers. The control hosts store configuration, bills and
claims; one of them is the elected control leader.
"""

from dataclasses import dataclass
from random import Random

from baobabstream.backends.engine_client import EngineClient
from baobabstream.backends.probe import Prober
from baobabstream.backends.rating_client import RatingClient
from baobabstream.backends.service_client import ServiceClient
from baobabstream.billing.bill_sender import BillSender
from baobabstream.entry.caller_access import CallerAccess
from baobabstream.entry.claims import ClaimClient
from baobabstream.entry.decision_loop import DecisionLoop
from baobabstream.entry.leader_calls import BackgroundTasks
from baobabstream.entry.sessions import SessionTokens
from baobabstream.entry.suspects import SuspectReporter
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import EntrySettings
from baobabstream.telemetry.timeline import TimelineWriter

__all__ = ["EntryContext"]


@dataclass(frozen=True, slots=True)
class EntryContext:
    """Objects that the daemon passes to the request handlers.

    Attributes
    ----------
    settings
        Validated settings of this host.
    caller_access
        Checks of lease, API key and body. The lease from the control leader allows this entry to
        act on its configuration.
    view
        Configuration and announced backend servers, as last received from the control leader.
    decision_loop
        Runs the routing policy.
    session_tokens
        Signs and verifies session tokens, which pin a conversation to a model version.
    bill_sender
        Stores bills, the records of tokens and cost per answer, on the control hosts.
    background_tasks
        Tasks that outlive their request.
    suspect_reporter
        Reports lost backend servers and asks for trials. In a trial, a request that may have
        crashed a backend server runs alone on one.
    claim_client
        Claims non-idempotent requests at the control leader, so that each runs at most once.
    engine_client, service_client
        HTTP clients for engines, which run a language model, and for plain services, which answer
        other HTTP requests.
    prober
        Checks whether a backend server answers on a new connection.
    rating_client
        Client of the rating service, which judges answers, or None if there is none.
    timeline
        Event log of this host.
    random
        Source of randomness for samples and for the choice among equal servers.
    """

    settings: EntrySettings
    caller_access: CallerAccess
    view: ClusterView
    decision_loop: DecisionLoop
    session_tokens: SessionTokens
    bill_sender: BillSender
    background_tasks: BackgroundTasks
    suspect_reporter: SuspectReporter
    claim_client: ClaimClient
    engine_client: EngineClient
    service_client: ServiceClient
    prober: Prober
    rating_client: RatingClient | None
    timeline: TimelineWriter
    random: Random
