"""Callers that send requests to all gateways of a platform at a steady rate."""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import count

from aiohttp import ClientError

from platform_stand_in import PlatformHarness

__all__ = ["CallerTraffic", "RequestOutcome"]


@dataclass(frozen=True)
class RequestOutcome:
    """What the caller of one request saw.

    Attributes
    ----------
    request_id, path, gateway_index
        Identity and path of the request, and the number of the gateway that it was sent to.
    sent_s, taken_s
        Time of the event loop at which it was sent, and how long it took, both in seconds.
    status
        HTTP status, or 0 without a whole response.
    retry_after
        The header ``Retry-After``, or None.
    """

    request_id: str
    path: str
    gateway_index: int
    sent_s: float
    taken_s: float
    status: int
    retry_after: str | None


class CallerTraffic:
    """Sends requests for streams to all gateways in turn until cancelled; no two are alike.

    Parameters
    ----------
    platform
        Daemons that get the requests.
    interval_s
        Seconds between two requests.
    shared_parts
        Returns the parts of the prompt of the n-th request, without the last one, which belongs to
        the request itself.
    path
        Returns the path of the n-th request.
    repeats_after_failure
        How often a request without a whole response is sent again, to the next gateway.

    Attributes
    ----------
    outcomes
        Outcomes of the requests that have ended.
    sent_times_s
        Times of the event loop at which requests were sent, in seconds.
    """

    def __init__(
        self,
        platform: PlatformHarness,
        interval_s: float,
        shared_parts: Callable[[int], Iterable[str]] = lambda _: (),
        path: Callable[[int], str] = "/chat/{}".format,
        repeats_after_failure: int = 0,
    ) -> None:
        self.outcomes: list[RequestOutcome] = []
        self.sent_times_s: list[float] = []
        self._platform = platform
        self._interval_s = interval_s
        self._shared_parts = shared_parts
        self._path = path
        self._repeats_after_failure = repeats_after_failure

    async def run(self) -> None:
        """Send requests, each of which runs on its own."""
        async with asyncio.TaskGroup() as tasks:
            for number in count():
                tasks.create_task(self._send(number))
                await asyncio.sleep(self._interval_s)

    async def _send(self, number: int) -> None:
        """Send one request, again if it fails, and record the outcomes."""
        name = f"{id(self):x}{number:04x}"
        for attempt in range(1 + self._repeats_after_failure):
            outcome = await self._attempt(number, name, attempt)
            self.outcomes.append(outcome)
            if outcome.status:
                return

    async def _attempt(self, number: int, name: str, attempt: int) -> RequestOutcome:
        """Send one request once and return its outcome.

        Parameters
        ----------
        number, name
            Number of the request, and text that no other request has.
        attempt
            How often it has been sent before.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        self.sent_times_s.append(sent_s)
        request_id = f"{name}.{attempt}" if attempt else name
        parts = [*self._shared_parts(number), name]
        gateway_index = (number + attempt) % len(self._platform.gateway_ips)
        try:
            status, headers, _ = await self._platform.send_request(
                self._path(number),
                request_id,
                gateway_index=gateway_index,
                body=name.encode(),
                **{"X-Prompt-Prefix": ",".join(f"{part}:20" for part in parts)},
            )
        except (OSError, ClientError):
            status, headers = 0, {}
        return RequestOutcome(
            request_id,
            self._path(number),
            gateway_index,
            sent_s,
            loop.time() - sent_s,
            status,
            headers.get("Retry-After"),
        )

    def outcomes_since(self, since_s: float) -> list[RequestOutcome]:
        """Return the outcomes of the requests that were sent from a time in seconds on."""
        return [outcome for outcome in self.outcomes if outcome.sent_s >= since_s]

    def served_fraction_since(self, since_s: float) -> float:
        """Return the fraction of the requests sent from a time in seconds on that were served."""
        statuses = [outcome.status for outcome in self.outcomes_since(since_s)]
        return statuses.count(200) / len(statuses)
