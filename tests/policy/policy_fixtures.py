"""Views and drivers shared by the tests of the outcome policy."""

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

DESK = AccountRow("desk", "digest", ("small", "large"))
ANSWER = ClassRow("answer", 0.8, 1000.0, 6000.0)
SMALL = VersionRow("small", "1", 0.1, 0.95)


def make_view(*rows, engines=3, loaded=(("small", "1"),), slots=16) -> ClusterView:
    view = ClusterView()
    apply(view, *rows)
    records = [
        BackendRecord(
            f"engine-{n}",
            1,
            BackendKind.ENGINE,
            "",
            "zone-a",
            loaded=tuple(LoadedVersion(*item) for item in loaded),
            slots=slots,
        )
        for n in range(engines)
    ]
    view.apply_backends(records, (), True)
    return view


def apply(view: ClusterView, *rows) -> None:
    revision = view.revision + 1
    view.apply_rows(revision, [RowEntry(row_key(row), revision, row) for row in rows])


def make_policy(view: ClusterView, seed: int = 1, **options) -> OutcomePolicy:
    policy = OutcomePolicy(Random(seed), "zone-a", **options)
    policy.handle(ViewChanged(view), 0.0)
    return policy


def arrive(policy, number, now_s=0.0, account="desk", **fields):
    request = RequestInfo(f"r{number}", account, "answer", prompt_tokens=50, **fields)
    return policy.handle(RequestArrived(request), now_s)


def dispatches(decisions) -> list[Dispatch]:
    return [item for item in decisions if isinstance(item, Dispatch)]
