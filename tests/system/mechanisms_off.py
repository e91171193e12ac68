"""Runs the command line with one mechanism of the product switched off.

The first argument names the mechanism, the others are those of the command line. The system tests
use it to show that the check behind each mechanism then fails.
"""

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
    """A set of identities that contains every identity."""

    def __contains__(self, _: object) -> bool:
        return True


def _returning(value: object) -> Callable[..., Any]:
    """Return a function that takes any arguments and returns ``value``."""
    return lambda *_, **__: value


def _returning_async(value: object) -> Callable[..., Any]:
    """Return a coroutine function that takes any arguments and returns ``value``."""

    async def answer(*_: object, **__: object) -> object:
        return value

    return answer


def _allow_every_version() -> None:
    """Let every client account use every model version."""
    eligibility.account_allows = _returning(True)


def _report_every_revision_in_force() -> None:
    """Report every revision as in force at once."""
    EntryLeases.in_force = _returning(True)


def _ignore_entry_lease() -> None:
    """Let entry hosts send work without a valid lease."""
    Lease.is_valid = _returning(True)


def _ignore_session_pin() -> None:
    """Ignore session tokens, so that sessions are not pinned to a version."""
    SessionTokens.read = _returning(None)
    chat_request._check_pin = _returning(None)


def _ignore_bill_key() -> None:
    """Find no earlier bill under a key, so that a resent bill is stored again."""
    Ledger._find_record = _returning(None)


def _skip_bill_delivery() -> None:
    """Report bills as stored without sending them."""
    BillSender.store = _returning_async(True)


def _ignore_answer_identity() -> None:
    """Accept answers and stream events that belong to another request."""
    original_check = EventScanner._check_chunk

    def accept(self: EventScanner, payload: bytes) -> None:
        self._identities = _AnyIdentity()
        original_check(self, payload)

    EventScanner._check_chunk = accept
    engine_client._check_head = _returning(None)


def _report_not_run() -> None:
    """State in every refusal that the request has not run."""
    original_init = RefusedWithRunState.__init__

    def refuse(self: RefusedWithRunState, *args: Any, **fields: Any) -> None:
        original_init(self, *args, **fields)
        self.run_state = RunState.NO

    RefusedWithRunState.__init__ = refuse


def _skip_claims() -> None:
    """Run non-idempotent calls without a claim on their idempotency key."""
    ClaimClient.acquire = _returning_async(None)


def _ignore_departures() -> None:
    """Keep backend servers that have left in the view of the entry hosts."""
    original_apply = ClusterView.apply_backends

    def apply_without_departures(self: ClusterView, changed: Any, _: Any, complete: bool) -> Any:
        return original_apply(self, changed, set(), complete)

    ClusterView.apply_backends = apply_without_departures


def _skip_drain() -> None:
    """Do nothing when an entry host is stopped, so that open requests are not finished."""
    EntryDaemon.stop = _returning_async(None)


def _ignore_base_revision() -> None:
    """Accept changes regardless of the revision that they are based on."""
    original_apply_once = ConfigState._apply_once

    def accept(self: ConfigState, command: Any, work: Any) -> Any:
        return original_apply_once(self, replace(command, base_revision=None), work)

    ConfigState._apply_once = accept


def _ignore_change_identity() -> None:
    """Find no accepted change by its identity, so that a resent change is applied again."""
    AcceptedChanges.find = _returning(None)


def _skip_loss_reports() -> None:
    """Send no reports about requests whose backend server was lost."""
    SuspectReporter.report_loss = _returning_async(None)


# Function that switches a mechanism off, by the name of the mechanism.
MECHANISMS: dict[str, Callable[[], None]] = {
    "allowance": _allow_every_version,
    "in_force": _report_every_revision_in_force,
    "entry_lease": _ignore_entry_lease,
    "session_pin": _ignore_session_pin,
    "bill_key": _ignore_bill_key,
    "bill_delivery": _skip_bill_delivery,
    "answer_identity": _ignore_answer_identity,
    "run_state": _report_not_run,
    "claims": _skip_claims,
    "departure": _ignore_departures,
    "drain": _skip_drain,
    "base_revision": _ignore_base_revision,
    "change_identity": _ignore_change_identity,
    "loss_reports": _skip_loss_reports,
}

if __name__ == "__main__":
    MECHANISMS[sys.argv.pop(1)]()
    main()
