"""Callers that send random requests to the gateways during a soak run and record the outcomes."""

import asyncio
from itertools import count
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from platform_stand_in import FRONT_PORT, caller_headers
from soak.promises import CallerRecord

__all__ = ["ROUTES", "Callers", "send_request"]

# Routes that the callers use: non-idempotent, idempotent and streaming.
ROUTES = ("sign", "look", "chat")
CALLER_COUNT = 6
# Longest pause of a caller between two requests.
MAX_PAUSE_S = 0.1
# Longer than the time limit of every route, so that a caller sees the gateway's own timeout.
REQUEST_TIMEOUT_S = 15.0


async def send_request(http: ClientSession, record: CallerRecord) -> None:
    """Send the request that the record describes and fill in its outcome."""
    headers = caller_headers(record.request_id)
    url = f"http://{record.gateway}:{FRONT_PORT}/{record.route}/x"
    try:
        async with http.post(url, headers=headers, data=b"prompt") as response:
            record.was_connected = True
            record.status = response.status
            record.signature = response.headers.get("X-Replica-Stamp", "")
            record.body = await response.read()
            record.is_complete = True
    except ClientConnectorError:
        return
    except (ClientError, TimeoutError):
        record.was_connected = True


class Callers:
    """Callers that send one request after another on connections that stay open.

    Parameters
    ----------
    seed
        Seed of the choice of gateways, routes and pauses.
    gateway_ips
        IP addresses of the gateways.

    Attributes
    ----------
    records
        Requests that have ended.
    """

    def __init__(self, seed: int, gateway_ips: list[str]) -> None:
        self.records: list[CallerRecord] = []
        self._seed = seed
        self._gateway_ips = gateway_ips
        self._is_stopping = False

    def start(self) -> None:
        """Start all callers."""
        self._tasks = [
            asyncio.create_task(self._send_requests(caller_number))
            for caller_number in range(CALLER_COUNT)
        ]

    async def stop(self) -> None:
        """Let each caller finish its current request and wait for all of them."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)

    async def _send_requests(self, caller_number: int) -> None:
        """Send requests as one of the callers until stopped."""
        random = Random(f"{self._seed}/{caller_number}")
        loop = asyncio.get_running_loop()
        async with ClientSession(timeout=ClientTimeout(total=REQUEST_TIMEOUT_S)) as http:
            for request_number in count():
                if self._is_stopping:
                    return
                gateway, route = random.choice(self._gateway_ips), random.choice(ROUTES)
                record = CallerRecord(
                    f"c{caller_number}-{request_number}", route, gateway, loop.time()
                )
                await send_request(http, record)
                record.ended_s = loop.time()
                self.records.append(record)
                await asyncio.sleep(random.random() * MAX_PAUSE_S)
