"""Orders of the control leader to model engines, such as to load a model version.

The term is the number of the leader's election, and the revision the number of the last change of
the configuration. The leader may act only while it holds the leader lease, which ends when it does
not reach a majority of the control hosts. An engine is a backend server that runs models.

An engine that honours fencing numbers refuses an order whose number (term, revision) is lower
than that of an earlier order, so that a previous leader cannot change it any more.
"""

import time
from collections.abc import Callable
from enum import Enum, StrEnum

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec import Struct, to_builtins

from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.rows import BackendRecord

__all__ = ["EngineOrders", "OrderAction", "OrderResult"]

# Time limit for the answer to an order.
ORDER_TIMEOUT_S = 2.0
# Longest time for which the previous leader may still assume that it leads; equals
# ``Timing.lease_s`` of the replicated log.
LEADER_LEASE_S = 1.5
# Allowance for a previous leader whose process was paused between checking its lease and sending
# an order.
PROCESS_PAUSE_MARGIN_S = 0.5

_log = get_logger("control")


class OrderAction(StrEnum):
    """Action that an order requires of an engine.

    ``LOAD`` and ``UNLOAD`` concern the weights of a model version or an adapter (additional weights
    for a model). ``SET_ROLE`` changes the role of the engine, a name that is passed on unchanged.
    """

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class OrderResult(Enum):
    """Result of sending an order.

    ``ACCEPTED``: the engine answered with status 200. ``FENCED``: the engine refused the fencing
    number, or this host no longer leads. ``FAILED``: there was no answer in time, or another
    status. ``NOT_YET``: nothing was sent, because the engine ignores fencing numbers and the
    previous leader may still send it orders.
    """

    ACCEPTED = "accepted"
    FENCED = "fenced"
    FAILED = "failed"
    NOT_YET = "not yet"


class _Order(Struct, frozen=True):
    """JSON body of an order.

    ``term`` and ``revision`` form the fencing number. Fields that the action does not use are
    empty.
    """

    term: int
    revision: int
    action: OrderAction
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""


class EngineOrders:
    """Sends orders with a fencing number (term, revision) that only rises.

    An order names the desired state of the engine, so it may be repeated.

    Parameters
    ----------
    session
        HTTP session for the engines.
    term
        Term of this leader.
    present_revision
        Returns the present revision of the configuration.
    leads
        Returns whether this host holds the leader lease.
    timeline
        Event timeline of this host.
    clock
        Returns a monotonic time in seconds.

    Notes
    -----
    An engine that ignores fencing numbers cannot refuse an order of the previous leader. It gets
    orders only after the previous leader's lease and the timeout of its last order have ended.
    """

    def __init__(
        self,
        session: ClientSession,
        term: int,
        present_revision: Callable[[], int],
        leads: Callable[[], bool],
        timeline: TimelineWriter,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._session = session
        self._term = term
        self._present_revision = present_revision
        self._leads = leads
        self._timeline = timeline
        self._clock = clock
        # Time from which engines that ignore fencing numbers may get orders, see the notes.
        self._unfenced_orders_from_s = (
            clock() + LEADER_LEASE_S + ORDER_TIMEOUT_S + PROCESS_PAUSE_MARGIN_S
        )

    async def send(
        self,
        engine: BackendRecord,
        action: OrderAction,
        model: str = "",
        version: str = "",
        adapter: str = "",
        role: str = "",
    ) -> OrderResult:
        """Send one order to an engine and return the result.

        Parameters
        ----------
        engine
            Record of the engine, with its URL.
        action
            Action that the engine is to carry out.
        model, version
            Model version to load or unload; empty for ``SET_ROLE``.
        adapter
            Name of the adapter to load or unload, or empty.
        role
            Role that the engine is to take with ``SET_ROLE``; empty for other actions.
        """
        if not engine.honours_fencing and self._clock() < self._unfenced_orders_from_s:
            return OrderResult.NOT_YET
        if not self._leads():
            return OrderResult.FENCED
        order = _Order(self._term, self._present_revision(), action, model, version, adapter, role)
        description = f"{engine.identity} {action.value} {model}@{version}"
        self._timeline.emit(EventKind.ORDER_SENT, revision=order.revision, detail=description)
        timeout = ClientTimeout(total=ORDER_TIMEOUT_S)
        url = f"{engine.url}/v1/orders"
        try:
            async with self._session.post(
                url, json=to_builtins(order), timeout=timeout
            ) as response:
                http_status = response.status
        except (ClientError, TimeoutError, OSError) as error:
            _log.warning("Order %s failed: %s.", description, str(error) or "no answer in time")
            return OrderResult.FAILED
        # HTTP status 200: OK. An engine answers 409 (conflict) to a fencing number that is too low.
        if http_status == 200:
            return OrderResult.ACCEPTED
        _log.warning("Order %s was refused with status %d.", description, http_status)
        return OrderResult.FENCED if http_status == 409 else OrderResult.FAILED
