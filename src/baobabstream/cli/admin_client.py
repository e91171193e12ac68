"""HTTP client of the operator commands."""

import asyncio
import ssl
import uuid
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from aiohttp import ClientError, ClientSession, ClientTimeout, TCPConnector

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused

__all__ = ["AdminClient", "with_client"]

CALL_TIMEOUT_S = 5.0
RESENDS = 3
RESEND_DELAY_S = 0.5

ResultT = TypeVar("ResultT")


class AdminClient:
    """Calls any of the control hosts.

    A change whose answer is lost is sent again with the same identity, so that it is applied
    once.

    Parameters
    ----------
    session
        HTTP session that carries the operator's key.
    urls
        Addresses of the control hosts.
    """

    def __init__(self, session: ClientSession, urls: list[str]) -> None:
        self._session = session
        self._urls = [url.rstrip("/") for url in urls]

    async def get(self, path: str) -> Any:
        """Return the JSON answer of a read."""
        return await self._call("GET", path, None)

    async def change(
        self,
        put: list[dict[str, Any]],
        delete: list[str] | None = None,
        base_revision: int | None = None,
    ) -> Any:
        """Send a change based on a revision, or on the present one."""
        return await self.act("changes", {"put": put, "delete": delete or []}, base_revision)

    async def act(
        self,
        path: str,
        fields: dict[str, Any],
        base_revision: int | None = None,
        based: bool = True,
    ) -> Any:
        """Send an action below ``/admin/v1`` with a change identity.

        Parameters
        ----------
        path, fields
            The action and its fields.
        base_revision
            Revision that the action is based on; None for the present one.
        based
            Whether the action takes a base revision.
        """
        body = {"change_id": uuid.uuid4().hex} | fields
        if based:
            if base_revision is None:
                base_revision = (await self.get("/admin/v1/config"))["operator_revision"]
            body["base_revision"] = base_revision
        return await self._call("POST", f"/admin/v1/{path}", body)

    async def _call(self, method: str, path: str, body: Any) -> Any:
        problem = RequestRefused(ResultCode.NO_LEADER)
        for _ in range(RESENDS):
            for url in self._urls:
                try:
                    async with self._session.request(method, url + path, json=body) as answer:
                        document = await answer.json()
                except (ClientError, TimeoutError, ValueError) as error:
                    reason = str(error) or "no answer in time"
                    problem = RequestRefused(ResultCode.NO_LEADER, f"{url}: {reason}")
                    continue
                if answer.status == 200:
                    return document
                problem = _refusal(document)
                if answer.status < 500:
                    raise problem
            await asyncio.sleep(RESEND_DELAY_S)
        raise problem


def _refusal(document: Any) -> RequestRefused:
    error = document["error"]
    return RequestRefused(ResultCode(error["code"]), error["message"])


def with_client(
    urls: list[str],
    key: str,
    work: Callable[[AdminClient], Awaitable[ResultT]],
    tls_context: ssl.SSLContext | None = None,
) -> ResultT:
    """Run ``work`` with a client and return its result."""

    async def run() -> ResultT:
        headers = {"Authorization": f"Bearer {key}"}
        timeout = ClientTimeout(total=CALL_TIMEOUT_S)
        connector = TCPConnector(ssl=tls_context if tls_context is not None else True)
        async with ClientSession(headers=headers, timeout=timeout, connector=connector) as session:
            return await work(AdminClient(session, urls))

    try:
        return asyncio.run(run())
    except OSError as error:
        raise BaobabstreamError(ResultCode.NO_LEADER, str(error)) from error
