"""Queue that serves client accounts in proportion to their shares.

An account's share is its weight. The queue runs on virtual time. Its unit is requests per unit of
share: a request of an account with share ``s`` advances the account by ``1 / s``. A request's start
tag and finish tag are the virtual times at which it starts and ends; the start tag is the finish
tag of the account's previous request. The account whose finish tag is the smallest is served next.
"""

from collections import deque
from dataclasses import dataclass, field

from baobabstream.policy.active_request import ActiveRequest

__all__ = ["FairQueue"]


# Requests that an account may send in a burst after it used less than its share: its finish tag is
# behind the virtual time by at most the virtual time of so many of its requests.
BURST_REQUESTS = 3.0


@dataclass(slots=True)
class _AccountQueue:
    """Waiting requests of one client account.

    Attributes
    ----------
    share
        Weight of the account.
    finish_tag
        Virtual time at which the account's last served request ends.
    waiting
        Waiting requests, the oldest first.
    """

    share: float
    finish_tag: float = 0.0
    waiting: deque[ActiveRequest] = field(default_factory=deque)


class FairQueue:
    """Start-time fair queue over client accounts.

    Parameters
    ----------
    uses_shares
        Whether accounts are served by their shares; otherwise the queue is first come, first
        served.

    References
    ----------
    P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
    """

    def __init__(self, uses_shares: bool = True) -> None:
        self._uses_shares = uses_shares
        # Queues of all accounts seen so far and of those with waiting requests, by account name.
        self._account_queues: dict[str, _AccountQueue] = {}
        self._nonempty_queues: dict[str, _AccountQueue] = {}
        self._virtual_time = 0.0
        # Waiting requests of all accounts.
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, active_request: ActiveRequest, share: float) -> None:
        """Add a request at the end of its account's queue; ``share`` is the account's weight.

        An account that had nothing waiting has its finish tag raised to a burst before the virtual
        time, so that a long idle time earns no more than that.
        """
        account_queue = self._account_queue(active_request, share)
        if not account_queue.waiting:
            account_queue.finish_tag = max(
                account_queue.finish_tag, self._virtual_time - BURST_REQUESTS / account_queue.share
            )
        account_queue.waiting.append(active_request)
        self._nonempty_queues[self._account_key(active_request)] = account_queue
        self._length += 1

    def charge_immediate_dispatch(self, active_request: ActiveRequest, share: float) -> None:
        """Charge an account for a request that was dispatched without entering the queue.

        Its finish tag advances as if the request had been queued and served. ``share`` is the
        weight of the account.
        """
        account_queue = self._account_queue(active_request, share)
        start_tag = max(
            account_queue.finish_tag, self._virtual_time - BURST_REQUESTS / account_queue.share
        )
        self._virtual_time = max(self._virtual_time, start_tag)
        account_queue.finish_tag = start_tag + 1.0 / account_queue.share

    def heads_in_service_order(self) -> list[ActiveRequest]:
        """Return the oldest request of each account, in the order in which they are served."""
        account_queues = sorted(
            self._nonempty_queues.values(), key=lambda account_queue: account_queue.finish_tag
        )
        return [account_queue.waiting[0] for account_queue in account_queues]

    def pop(self, active_request: ActiveRequest) -> None:
        """Remove the oldest request of an account for dispatch and charge the account for it."""
        account_queue = self._nonempty_queues[self._account_key(active_request)]
        account_queue.waiting.popleft()
        self._length -= 1
        self._virtual_time = max(self._virtual_time, account_queue.finish_tag)
        account_queue.finish_tag += 1.0 / account_queue.share
        if not account_queue.waiting:
            del self._nonempty_queues[self._account_key(active_request)]

    def remove(self, active_request: ActiveRequest) -> None:
        """Remove a request without serving it, if it is waiting."""
        account_queue = self._nonempty_queues.get(self._account_key(active_request))
        if account_queue is None or active_request not in account_queue.waiting:
            return
        account_queue.waiting.remove(active_request)
        self._length -= 1
        if not account_queue.waiting:
            del self._nonempty_queues[self._account_key(active_request)]

    def waiting_requests(self) -> list[ActiveRequest]:
        """Return all waiting requests."""
        return [
            active_request
            for account_queue in self._nonempty_queues.values()
            for active_request in account_queue.waiting
        ]

    def requests_ahead(self, account_name: str, share: float) -> float:
        """Return how many waiting requests would be served before a new request of an account.

        These are the account's own waiting requests, and those of each other account whose start
        tags are at most that of the new request.

        Parameters
        ----------
        account_name
            Client account of the new request.
        share
            Weight of the account.
        """
        if not self._uses_shares:
            return self._length
        account_queue = self._account_queues.get(account_name)
        own_waiting = len(account_queue.waiting) if account_queue is not None else 0
        finish_tag = account_queue.finish_tag if account_queue is not None else 0.0
        start_tag = (
            max(finish_tag, self._virtual_time - BURST_REQUESTS / share) + own_waiting / share
        )
        others_ahead = sum(
            min(
                len(other_queue.waiting),
                1 + int((start_tag - other_queue.finish_tag) * other_queue.share),
            )
            for account_key, other_queue in self._nonempty_queues.items()
            if account_key != account_name and other_queue.finish_tag < start_tag
        )
        return own_waiting + others_ahead

    def is_below_share(self, account_name: str) -> bool:
        """Return whether an account stays within its share with one more request.

        That is the case when its finish tag, after its waiting requests and the new one, does not
        exceed the virtual time.
        """
        if not self._uses_shares:
            return False
        account_queue = self._account_queues.get(account_name)
        if account_queue is None:
            return True
        next_finish_tag = (
            account_queue.finish_tag + (len(account_queue.waiting) + 1) / account_queue.share
        )
        return next_finish_tag <= self._virtual_time

    def _account_queue(self, active_request: ActiveRequest, share: float) -> _AccountQueue:
        """Return the queue of a request's account with its present share, created if missing.

        A share below 0.001 counts as 0.001, so that ``1 / share`` stays finite. If shares are not
        used, all requests are in one queue with the weight 1.
        """
        account_key = self._account_key(active_request)
        account_queue = self._account_queues.get(account_key)
        if account_queue is None:
            account_queue = _AccountQueue(max(share, 0.001), self._virtual_time)
            self._account_queues[account_key] = account_queue
        account_queue.share = max(share, 0.001) if self._uses_shares else 1.0
        return account_queue

    def _account_key(self, active_request: ActiveRequest) -> str:
        """Return the key of a request's account; all accounts have one key without shares."""
        return active_request.request.client_account if self._uses_shares else ""
