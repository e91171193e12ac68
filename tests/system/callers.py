"""Callers that send chat requests through the entry hosts and record what they got."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import replace
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientTimeout

from baobabstream.errors.codes import ResultCode
from system.cluster import Cluster, ConnectionUse
from system.history import CallerRecord

__all__ = ["CONNECTION_BROKEN", "NOT_CONNECTED", "Callers", "send_chat_request", "wall_ms"]

REQUEST_TIMEOUT_S = 30.0
# Result codes of a ``CallerRecord`` for a connection that broke and for one that was refused.
CONNECTION_BROKEN = -1
NOT_CONNECTED = -2


def wall_ms() -> int:
    """Return the wall time in milliseconds."""
    return time.time_ns() // 1_000_000


async def send_chat_request(
    cluster: Cluster,
    entry: str,
    api_key: str,
    account: str,
    prompt: str,
    max_tokens: int = 12,
    headers: dict[str, str] | None = None,
) -> CallerRecord:
    """Send one streamed chat request to one entry host and record the outcome.

    ``max_tokens`` is the requested length of the answer. The record has the result code
    ``CONNECTION_BROKEN`` and the run state "unknown" if the connection broke, and the result code
    ``NOT_CONNECTED`` if it was refused.
    """
    record = CallerRecord(
        prompt,
        account,
        started_ms=wall_ms(),
        run_state="unknown",
        result_code=CONNECTION_BROKEN,
        max_tokens=max_tokens,
    )
    connection = ConnectionUse()
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    try:
        async with cluster.session.post(
            f"{cluster.entry_url(entry)}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {api_key}"} | (headers or {}),
            timeout=ClientTimeout(total=REQUEST_TIMEOUT_S),
            trace_request_ctx=connection,
        ) as response:
            record = replace(
                record,
                request_id=response.headers.get("X-Request-Id", ""),
                version=response.headers.get("X-Model-Version", ""),
                session=response.headers.get("X-Session-Token", ""),
            )
            if response.status != 200:
                error = (await response.json())["error"]
                return replace(
                    record, result_code=error["code"], run_state=error["ran"], ended_ms=wall_ms()
                )
            return await _read_stream(record, response)
    except ClientConnectorError:
        return replace(record, result_code=NOT_CONNECTED, run_state="no", ended_ms=wall_ms())
    except (ClientError, TimeoutError, ValueError):
        return replace(record, ended_ms=wall_ms(), used_open_connection=connection.was_open_before)


async def _read_stream(record: CallerRecord, response) -> CallerRecord:
    """Read a stream of events to its end and return the record with its outcome.

    A part of another request's answer is marked in the text, which then differs from the expected.
    """
    text, finished, result_code, run_state = "", False, 0, "yes"
    async for line in response.content:
        data = line.removeprefix(b"data: ").strip()
        if data == b"[DONE]":
            finished = result_code == 0
        elif data:
            event = json.loads(data)
            if "error" in event:
                result_code, run_state = event["error"]["code"], event["error"]["ran"]
            elif not event["id"].startswith(f"chatcmpl-{record.request_id}."):
                text += f"<answer of {event['id']}>"
            elif event.get("choices"):
                text += event["choices"][0]["delta"].get("content") or ""
    return replace(
        record,
        result_code=result_code,
        run_state=run_state,
        text=text,
        finished=finished,
        ended_ms=wall_ms(),
    )


class Callers:
    """Runs concurrent callers until they are stopped.

    Parameters
    ----------
    cluster
        Cluster whose entry hosts are called.
    random
        Source of the choice of entry hosts and of the pauses.

    Attributes
    ----------
    records
        Chat requests that have ended.
    signature_codes
        Number of signature requests by HTTP status; ``CONNECTION_BROKEN`` stands for no response.
    """

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        self._is_stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self.records: list[CallerRecord] = []
        self.signature_codes: Counter[int] = Counter()

    def start(self, caller_count: int, api_key: str, account: str, max_tokens: int = 12) -> None:
        """Start callers of one client account whose requests belong to no session."""
        for caller_number in range(caller_count):
            caller = self._send_requests(f"{account}-{caller_number}", api_key, account, max_tokens)
            self._tasks.append(asyncio.create_task(caller))

    def start_sessions(
        self, caller_count: int, api_key: str, account: str, max_tokens: int = 12
    ) -> None:
        """Start callers that keep a session each, or begin another if its version is withdrawn."""
        for caller_number in range(caller_count):
            caller = self._send_session_requests(
                f"{account}-s{caller_number}", api_key, account, max_tokens
            )
            self._tasks.append(asyncio.create_task(caller))

    def start_signatures(self, caller_count: int, api_key: str, account: str) -> None:
        """Start callers of the signature route that send each request three times."""
        for caller_number in range(caller_count):
            caller = self._send_signatures(f"{account}-signature-{caller_number}", api_key)
            self._tasks.append(asyncio.create_task(caller))

    async def stop(self) -> list[CallerRecord]:
        """Let each caller finish its request and return all records."""
        self._is_stopping = True
        await asyncio.gather(*self._tasks)
        return self.records

    async def _send_session_requests(
        self, name: str, api_key: str, account: str, max_tokens: int
    ) -> None:
        """Send the requests of one caller with sessions until stopped."""
        request_number, session_number, session_token = 0, 0, "new"
        while not self._is_stopping:
            request_number += 1
            entry = self._random.choice(self._cluster.entries)
            headers = {"X-Session-Token": session_token}
            prompt = f"{name}-{request_number}"
            record = await send_chat_request(
                self._cluster, entry, api_key, account, prompt, max_tokens, headers
            )
            if record.finished and record.session:
                session_token = record.session
            elif record.result_code == int(ResultCode.SESSION_VERSION_WITHDRAWN):
                session_number, session_token = session_number + 1, "new"
            self.records.append(replace(record, session=f"{name}/{session_number}"))
            await asyncio.sleep(self._random.uniform(0.01, 0.05))

    async def _send_signatures(self, name: str, api_key: str) -> None:
        """Send each signature twice at once and then again, under one idempotency key."""
        request_number = 0
        while not self._is_stopping:
            request_number += 1
            headers = {
                "Authorization": f"Bearer {api_key}",
                "Idempotency-Key": f"{name}-{request_number}",
            }
            sends = [self._send_signature(headers) for _ in range(2)]
            await asyncio.gather(*sends)
            await self._send_signature(headers)
            await asyncio.sleep(self._random.uniform(0.02, 0.1))

    async def _send_signature(self, headers: dict[str, str]) -> None:
        """Send one signature through a random entry host and count its HTTP status."""
        url = self._cluster.entry_url(self._random.choice(self._cluster.entries))
        try:
            async with self._cluster.session.post(
                f"{url}/waiver/signatures", data=b"signed", headers=headers
            ) as response:
                await response.read()
                self.signature_codes[response.status] += 1
        except (ClientError, TimeoutError):
            self.signature_codes[CONNECTION_BROKEN] += 1

    async def _send_requests(self, name: str, api_key: str, account: str, max_tokens: int) -> None:
        """Send the requests of one caller without session until stopped."""
        request_number = 0
        while not self._is_stopping:
            request_number += 1
            entry = self._random.choice(self._cluster.entries)
            prompt = f"{name}-{request_number}"
            record = await send_chat_request(
                self._cluster, entry, api_key, account, prompt, max_tokens
            )
            self.records.append(record)
            await asyncio.sleep(self._random.uniform(0.01, 0.05))
