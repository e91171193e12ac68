"""Runs the command line with one mechanism replaced, to show which check then fails."""

import sys
from collections.abc import Callable
from typing import Any

from msgspec.structs import replace

from baobabstream.backends import engine_client
from baobabstream.backends.event_scanner import EventScanner
from baobabstream.billing.bill_sender import BillSender
from baobabstream.billing.ledger import Ledger
from baobabstream.cli.app import main
from baobabstream.control.accepted_changes import AcceptedChanges
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.state import ConfigState
from baobabstream.entry import chat_request
from baobabstream.entry.claims import ClaimClient
from baobabstream.entry.daemon import EntryDaemon
from baobabstream.entry.refusals import RefusedWithRunState
from baobabstream.entry.sessions import SessionTokens
from baobabstream.entry.suspects import SuspectReporter
from baobabstream.errors.codes import RunState
from baobabstream.membership.lease import Lease
from baobabstream.policy import eligibility
from baobabstream.policy.view import ClusterView

__all__ = ["MECHANISMS"]


class _AnyIdentity:
    def __contains__(self, _: object) -> bool:
        return True


def _always(value: object) -> Callable[..., Any]:
    return lambda *_, **__: value


def _always_async(value: object) -> Callable[..., Any]:
    async def answer(*_: object, **__: object) -> object:
        return value

    return answer


def _allowance() -> None:
    eligibility.account_allows = _always(True)


def _in_force() -> None:
    EntryLeases.in_force = _always(True)


def _entry_lease() -> None:
    Lease.is_valid = _always(True)


def _session_pin() -> None:
    SessionTokens.read = _always(None)
    chat_request._check_pin = _always(None)


def _bill_key() -> None:
    Ledger._find_record = _always(None)


def _bill_delivery() -> None:
    BillSender.store = _always_async(True)


def _answer_identity() -> None:
    check = EventScanner._check_chunk

    def accept(self: EventScanner, payload: bytes) -> None:
        self._identities = _AnyIdentity()
        check(self, payload)

    EventScanner._check_chunk = accept
    engine_client._check_head = _always(None)


def _run_state() -> None:
    begin = RefusedWithRunState.__init__

    def refuse(self: RefusedWithRunState, *args: Any, **fields: Any) -> None:
        begin(self, *args, **fields)
        self.run_state = RunState.NO

    RefusedWithRunState.__init__ = refuse


def _claims() -> None:
    ClaimClient.acquire = _always_async(None)


def _departure() -> None:
    apply = ClusterView.apply_backends

    def keep(self: ClusterView, changed: Any, _: Any, complete: bool) -> Any:
        return apply(self, changed, set(), complete)

    ClusterView.apply_backends = keep


def _drain() -> None:
    EntryDaemon.stop = _always_async(None)


def _base_revision() -> None:
    once = ConfigState._apply_once

    def accept(self: ConfigState, command: Any, work: Any) -> Any:
        return once(self, replace(command, base_revision=None), work)

    ConfigState._apply_once = accept


def _change_identity() -> None:
    AcceptedChanges.find = _always(None)


def _loss_reports() -> None:
    SuspectReporter.report_loss = _always_async(None)


MECHANISMS: dict[str, Callable[[], None]] = {
    "allowance": _allowance,
    "in_force": _in_force,
    "entry_lease": _entry_lease,
    "session_pin": _session_pin,
    "bill_key": _bill_key,
    "bill_delivery": _bill_delivery,
    "answer_identity": _answer_identity,
    "run_state": _run_state,
    "claims": _claims,
    "departure": _departure,
    "drain": _drain,
    "base_revision": _base_revision,
    "change_identity": _change_identity,
    "loss_reports": _loss_reports,
}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    main()
