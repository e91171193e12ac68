"""Orders of the control leader to model engines."""

import time
from collections.abc import Callable
from enum import Enum, StrEnum

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct, to_builtins

from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.rows import BackendRecord

__all__ = ["EngineOrders", "OrderAction", "OrderResult"]

ORDER_TIMEOUT_S = 2.0
# Longest time for which the previous leader may still believe that it leads.
LEADER_LEASE_S = 1.5
# Room for a process that was frozen between its last check and the send.
WAIT_MARGIN_S = 0.5

_log = get_logger("control")


class OrderAction(StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class OrderResult(Enum):
    """What became of an order."""

    ACCEPTED = "accepted"
    FENCED = "fenced"
    FAILED = "failed"
    NOT_YET = "not yet"


class _Order(Struct, frozen=True):
    term: int
    revision: int
    action: OrderAction
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class EngineOrders:
    """Sends orders under a fencing number (term, revision) that only rises.

    An order states the desired state, so it may be repeated.

    Parameters
    ----------
    session
        HTTP session for the engines.
    term
        Term of this leader.
    revision
        Returns the present revision.
    leads
        Returns whether this host still holds the leader lease.
    timeline
        Event timeline of this host.
    clock
        Returns the time in seconds.

    Notes
    -----
    An engine that ignores fencing numbers cannot refuse an order of the previous leader. It gets
    orders only when the previous leader's lease and its longest order have run out.
    """

    def __init__(
        self,
        session: ClientSession,
        term: int,
        revision: Callable[[], int],
        leads: Callable[[], bool],
        timeline: TimeLine,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._session = session
        self._term = term
        self._revision = revision
        self._leads = leads
        self._timeline = timeline
        self._clock = clock
        self._unfenced_from_s = clock() + LEADER_LEASE_S + ORDER_TIMEOUT_S + WAIT_MARGIN_S

    async def send(
        self,
        engine: BackendRecord,
        action: OrderAction,
        model: str = "",
        version: str = "",
        adapter: str = "",
        role: str = "",
    ) -> OrderResult:
        """Send one order to an engine."""
        if not engine.honours_fencing and self._clock() < self._unfenced_from_s:
            return OrderResult.NOT_YET
        if not self._leads():
            return OrderResult.FENCED
        order = _Order(self._term, self._revision(), action, model, version, adapter, role)
        detail = f"{engine.identity} {action.value} {model}@{version}"
        self._timeline.emit(EventKind.ORDER_SENT, revision=order.revision, detail=detail)
        timeout = ClientTimeout(total=ORDER_TIMEOUT_S)
        url = f"{engine.url}/v1/orders"
        try:
            async with self._session.post(url, json=to_builtins(order), timeout=timeout) as answer:
                status = answer.status
        except (ClientError, TimeoutError, OSError) as error:
            _log.warning("Order %s failed: %s.", detail, str(error) or "no answer in time")
            return OrderResult.FAILED
        if status == 200:
            return OrderResult.ACCEPTED
        _log.warning("Order %s was refused with status %d.", detail, status)
        return OrderResult.FENCED if status == 409 else OrderResult.FAILED
