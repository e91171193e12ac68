"""HTTP client of the operator commands.

It calls the administration API, ``/admin/v1``, of the *control hosts*, which replicate the
configuration; the leader among them decides the changes. The configuration consists of *rows*, JSON
objects with the field ``type`` and a key of the form ``type/name``. An *action* is a request that
changes something, such as to pause a rollout, the stepwise move of traffic to a new model version.
Its unique *change identifier* ensures that it is applied only once, even if it is sent again. The
number of the last change is the *revision*; the *operator revision* is that of the last change by
an operator. A change names the *base revision* that the operator saw and is refused if another
change came later.
"""

import asyncio
import ssl
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout

from baobabstream.backends.strict_http import StrictConnector, read_json
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused

__all__ = ["AdminClient", "run_with_client"]

# Limit in seconds on one HTTP request, including its response.
CALL_TIMEOUT_S = 5.0
# Each round tries every control host once.
MAX_ROUNDS = 3
# Pause in seconds after each round, in which a new leader may be elected.
RESEND_DELAY_S = 0.5
# Largest document of a response; a whole configuration has some MB at most.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024

ResultT = TypeVar("ResultT")


class AdminClient:
    """Client of the administration API that tries the control hosts one after another.

    A change whose response is lost is sent again with the same identifier, so that it is applied
    only once.

    Parameters
    ----------
    session
        HTTP session that sends the operator's key with each request.
    urls
        Base URLs of the control hosts.
    """

    def __init__(self, session: ClientSession, urls: list[str]) -> None:
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]

    async def get(self, path: str) -> Any:
        """Return the JSON document at a path."""
        return await self._call("GET", path, None)

    async def change(
        self,
        put: list[dict[str, Any]],
        delete: list[str] | None = None,
        base_revision: int | None = None,
    ) -> Any:
        """Change rows of the configuration and return the JSON response.

        Parameters
        ----------
        put
            Rows that are created or replaced; each is a JSON object with its type.
        delete
            Keys of the rows that are deleted, such as ``class/batch``.
        base_revision
            Operator revision that the change is based on; None for the present one.
        """
        return await self.send_action(
            "changes", {"put": put, "delete": delete or []}, base_revision
        )

    async def send_action(
        self,
        path: str,
        fields: dict[str, Any],
        base_revision: int | None = None,
        has_base_revision: bool = True,
    ) -> Any:
        """Send an action with a new change identifier and return the JSON response.

        Without a given base revision, that is the field ``operator_revision`` of the configuration.

        Parameters
        ----------
        path
            Path of the action below ``/admin/v1/``, such as ``rollouts/pause``.
        fields
            Fields of the JSON body, besides the change identifier and the base revision.
        base_revision
            Operator revision that the action is based on; None for the present one.
        has_base_revision
            Whether the action takes a base revision.
        """
        body = {"change_id": uuid.uuid4().hex} | fields
        if has_base_revision:
            if base_revision is None:
                base_revision = (await self.get("/admin/v1/config"))["operator_revision"]
            body["base_revision"] = base_revision
        return await self._call("POST", f"/admin/v1/{path}", body)

    async def _call(self, method: str, path: str, body: Any) -> Any:
        """Send a request to the control hosts in turn until one replies, and return the response.

        Parameters
        ----------
        method
            HTTP method.
        path
            Path from the root of the server.
        body
            JSON body, or None.

        Raises
        ------
        RequestRefused
            The request was refused (HTTP status below 500), or all rounds failed.
        """
        last_error = RequestRefused(ResultCode.NO_LEADER)
        for _ in range(MAX_ROUNDS):
            for url in self._urls:
                try:
                    async with self._session.request(method, url + path, json=body) as response:
                        document = await read_json(response, MAX_DOCUMENT_BYTES)
                except (ClientError, TimeoutError) as error:
                    reason = str(error) or "no answer in time"
                    last_error = RequestRefused(ResultCode.NO_LEADER, f"{url}: {reason}")
                    continue
                if response.status == 200:
                    return document
                last_error = _refusal_error(document, f"{url}: HTTP status {response.status}")
                # Below 500 the error is one of the request itself, for which another host would
                # refuse it too; from 500 on it is one of this host.
                if response.status < 500:
                    raise last_error
            await asyncio.sleep(RESEND_DELAY_S)
        raise last_error


def _refusal_error(document: Any, unreachable_detail: str) -> RequestRefused:
    """Return the exception for an error response.

    A document without an error that a control host could have sent, such as that of a proxy, counts
    as an unreachable host.

    Parameters
    ----------
    document
        JSON document of the response. Its field ``error`` is an object with ``code``, the number of
        a result code, and ``message``.
    unreachable_detail
        Detail of the exception in that case.
    """
    try:
        error = document["error"]
        return RequestRefused(ResultCode(error["code"]), error["message"])
    except (KeyError, TypeError, ValueError):
        return RequestRefused(ResultCode.NO_LEADER, unreachable_detail)


def run_with_client(
    urls: list[str],
    key: str,
    work: Callable[[AdminClient], Awaitable[ResultT]],
    tls_context: ssl.SSLContext | None = None,
) -> ResultT:
    """Run ``work`` with a client on a new event loop and return its result.

    Parameters
    ----------
    urls
        Base URLs of the control hosts.
    key
        Key of the operator.
    work
        Coroutine function that makes the calls.
    tls_context
        Certificate authorities of https hosts; None for those of the system.

    Raises
    ------
    BaobabstreamError
        ``NO_LEADER`` if the network cannot be used.
    """

    async def run_work() -> ResultT:
        headers = {"Authorization": f"Bearer {key}"}
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        connector = StrictConnector(ssl=tls_context if tls_context is not None else True)
        async with ClientSession(headers=headers, timeout=timeout, connector=connector) as session:
            return await work(AdminClient(session, urls))

    try:
        return asyncio.run(run_work())
    except OSError as error:
        raise BaobabstreamError(ResultCode.NO_LEADER, str(error)) from error
