"""Configurations and helper functions shared by the tests of the outcome policy.

A view holds configuration rows and the records that backend servers announce. Engines are backend
servers that run models; they announce the versions that they have loaded.
"""

from random import Random

from baobabstream.policy.decisions import Dispatch
from baobabstream.policy.events import RequestArrived, RequestInfo, ViewChanged
from baobabstream.policy.outcome_policy import OutcomePolicy
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import (
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    LoadedVersion,
    RowEntry,
    VersionRow,
    row_key,
)

# A client account that may use two models.
DESK_ACCOUNT = AccountRow("desk", "digest", ("small", "large"))
# A work class with targets of 80% good answers, 1 s to the first token and 6 s to the whole answer.
ANSWER_CLASS = ClassRow("answer", 0.8, 1000.0, 6000.0)
# Version 1 of the small model: cost 0.1 per 1,000 output tokens, 95% good answers expected.
SMALL_VERSION = VersionRow("small", "1", 0.1, 0.95)


def make_view(*rows, engine_count=3, loaded_versions=(("small", "1"),), slots=16) -> ClusterView:
    """Return a view with configuration rows and engines that have loaded the given versions.

    ``slots`` is the number of requests that each engine runs at once. The engines are named
    ``engine-0`` and so on, have incarnation 1 and no address, and are in the policy's zone.
    """
    view = ClusterView()
    apply_rows(view, *rows)
    records = [
        BackendRecord(
            f"engine-{number}",
            1,
            BackendKind.ENGINE,
            "",
            "zone-a",
            loaded=tuple(LoadedVersion(*version_key) for version_key in loaded_versions),
            slots=slots,
        )
        for number in range(engine_count)
    ]
    view.apply_backends(records, (), True)
    return view


def apply_rows(view: ClusterView, *rows) -> None:
    """Add or replace configuration rows in a view, at its next revision."""
    revision = view.revision + 1
    view.apply_rows(revision, [RowEntry(row_key(row), revision, row) for row in rows])


def make_policy(view: ClusterView, seed: int = 1, **policy_options) -> OutcomePolicy:
    """Return an outcome policy that knows a view; ``seed`` determines its random choices."""
    policy = OutcomePolicy(Random(seed), "zone-a", **policy_options)
    policy.handle(ViewChanged(view), 0.0)
    return policy


def arrive_request(policy, request_number, now_s=0.0, account_name="desk", **request_fields):
    """Send the policy a request of the class "answer" with the identity ``r<request_number>``.

    ``now_s`` is the time of the arrival in seconds, and ``request_fields`` are further fields of
    ``RequestInfo``. Returns the policy's decisions.
    """
    request = RequestInfo(
        f"r{request_number}", account_name, "answer", prompt_tokens=50, **request_fields
    )
    return policy.handle(RequestArrived(request), now_s)


def dispatches(decisions) -> list[Dispatch]:
    """Return those decisions that dispatch an attempt."""
    return [decision for decision in decisions if isinstance(decision, Dispatch)]
