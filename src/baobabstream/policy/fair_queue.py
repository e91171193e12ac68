"""Queue that serves client accounts in proportion to their shares."""

from collections import deque
from dataclasses import dataclass, field

from baobabstream.policy.running import Running

__all__ = ["FairQueue"]


# Requests that an account which used less than its share may send in a burst.
CREDIT = 3.0


@dataclass(slots=True)
class _AccountQueue:
    share: float
    finish: float = 0.0
    items: deque[Running] = field(default_factory=deque)


class FairQueue:
    """Start-time fair queue over client accounts.

    Parameters
    ----------
    fair
        Whether shares count; otherwise the queue is first come, first served.

    References
    ----------
    P. Goyal, H. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996.
    """

    def __init__(self, fair: bool = True) -> None:
        self._fair = fair
        self._accounts: dict[str, _AccountQueue] = {}
        self._active: dict[str, _AccountQueue] = {}
        self._virtual = 0.0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def push(self, running: Running, share: float) -> None:
        """Add a request at the end of its account's queue."""
        queue = self._of(running, share)
        if not queue.items:
            queue.finish = max(queue.finish, self._virtual - CREDIT / queue.share)
        queue.items.append(running)
        self._active[self._name(running)] = queue
        self._length += 1

    def charge(self, running: Running, share: float) -> None:
        """Count a request that was dispatched without waiting."""
        queue = self._of(running, share)
        start = max(queue.finish, self._virtual - CREDIT / queue.share)
        self._virtual = max(self._virtual, start)
        queue.finish = start + 1.0 / queue.share

    def next_first(self) -> list[Running]:
        """Return the head of each account's queue, in the order of service."""
        queues = sorted(self._active.values(), key=lambda queue: queue.finish)
        return [queue.items[0] for queue in queues]

    def pop(self, running: Running) -> None:
        """Remove the head of an account's queue for service."""
        queue = self._active[self._name(running)]
        queue.items.popleft()
        self._length -= 1
        self._virtual = max(self._virtual, queue.finish)
        queue.finish += 1.0 / queue.share
        if not queue.items:
            del self._active[self._name(running)]

    def remove(self, running: Running) -> None:
        """Remove a request that is no longer wanted."""
        queue = self._active.get(self._name(running))
        if queue is None or running not in queue.items:
            return
        queue.items.remove(running)
        self._length -= 1
        if not queue.items:
            del self._active[self._name(running)]

    def items(self) -> list[Running]:
        """Return all waiting requests."""
        return [running for queue in self._active.values() for running in queue.items]

    def ahead(self, account: str, share: float) -> float:
        """Return how many requests would be served before a new one of an account."""
        if not self._fair:
            return self._length
        known = self._accounts.get(account)
        own = len(known.items) if known is not None else 0
        finish = known.finish if known is not None else 0.0
        start = max(finish, self._virtual - CREDIT / share) + own / share
        others = sum(
            min(len(queue.items), 1 + int((start - queue.finish) * queue.share))
            for name, queue in self._active.items()
            if name != account and queue.finish < start
        )
        return own + others

    def below_share(self, account: str) -> bool:
        """Return whether a new request of an account would be within its share."""
        if not self._fair:
            return False
        known = self._accounts.get(account)
        if known is None:
            return True
        used = known.finish + (len(known.items) + 1) / known.share
        return used <= self._virtual

    def _of(self, running: Running, share: float) -> _AccountQueue:
        name = self._name(running)
        queue = self._accounts.get(name)
        if queue is None:
            queue = _AccountQueue(max(share, 0.001), self._virtual)
            self._accounts[name] = queue
        queue.share = max(share, 0.001) if self._fair else 1.0
        return queue

    def _name(self, running: Running) -> str:
        return running.request.client_account if self._fair else ""
