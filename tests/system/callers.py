"""Callers that send chat requests through the entry hosts and record what they got."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import replace
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientTimeout

from baobabstream.errors.codes import ResultCode
from system.cluster import Cluster
from system.history import CallerRecord

__all__ = ["CUT", "NOT_CONNECTED", "Callers", "ask", "wall_ms"]

REQUEST_TIMEOUT_S = 30.0
CUT = -1
NOT_CONNECTED = -2


def wall_ms() -> int:
    """Return the wall time in milliseconds."""
    return time.time_ns() // 1_000_000


async def ask(
    cluster: Cluster,
    entry: str,
    api_key: str,
    account: str,
    marker: str,
    tokens: int = 12,
    headers: dict[str, str] | None = None,
) -> CallerRecord:
    """Send one streamed chat request to one entry host and record the outcome.

    A connection that breaks gives a record with code ``CUT`` whose run state is unknown, one that
    was refused the code ``NOT_CONNECTED``.
    """
    record = CallerRecord(
        marker, account, started_ms=wall_ms(), ran="unknown", code=CUT, tokens=tokens
    )
    body = {
        "model": "auto",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": marker}],
    }
    try:
        async with cluster.session.post(
            f"{cluster.entry_url(entry)}/v1/chat/completions",
            json=body,
            headers={"Authorization": f"Bearer {api_key}"} | (headers or {}),
            timeout=ClientTimeout(total=REQUEST_TIMEOUT_S),
        ) as response:
            record = replace(
                record,
                request_id=response.headers.get("X-Request-Id", ""),
                version=response.headers.get("X-Model-Version", ""),
                session=response.headers.get("X-Session-Token", ""),
            )
            if response.status != 200:
                error = (await response.json())["error"]
                return replace(record, code=error["code"], ran=error["ran"], ended_ms=wall_ms())
            return await _read_stream(record, response)
    except ClientConnectorError:
        return replace(record, code=NOT_CONNECTED, ran="no", ended_ms=wall_ms())
    except (ClientError, TimeoutError, ValueError):
        return replace(record, ended_ms=wall_ms())


async def _read_stream(record: CallerRecord, response) -> CallerRecord:
    text, finished, code, ran = "", False, 0, "yes"
    async for line in response.content:
        data = line.removeprefix(b"data: ").strip()
        if data == b"[DONE]":
            finished = code == 0
        elif data:
            chunk = json.loads(data)
            if "error" in chunk:
                code, ran = chunk["error"]["code"], chunk["error"]["ran"]
            elif not chunk["id"].startswith(f"chatcmpl-{record.request_id}."):
                text += f"<answer of {chunk['id']}>"
            elif chunk.get("choices"):
                text += chunk["choices"][0]["delta"].get("content") or ""
    return replace(record, code=code, ran=ran, text=text, finished=finished, ended_ms=wall_ms())


class Callers:
    """Runs callers side by side until told to stop.

    Parameters
    ----------
    cluster
        The daemons.
    random
        Source of entry choice and pauses.
    """

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        self._stopping = False
        self._tasks: list[asyncio.Task[None]] = []
        self.records: list[CallerRecord] = []
        self.signature_codes: Counter[int] = Counter()

    def start(self, count: int, api_key: str, account: str, tokens: int = 12) -> None:
        """Start callers of one account."""
        for number in range(count):
            work = self._run(f"{account}-{number}", api_key, account, tokens)
            self._tasks.append(asyncio.create_task(work))

    def start_sessions(self, count: int, api_key: str, account: str, tokens: int = 12) -> None:
        """Start callers that each hold a session and start a new one when it must restart."""
        for number in range(count):
            work = self._run_session(f"{account}-s{number}", api_key, account, tokens)
            self._tasks.append(asyncio.create_task(work))

    def start_signatures(self, count: int, api_key: str, account: str) -> None:
        """Start callers that record signatures and send each three times."""
        for number in range(count):
            work = self._sign(f"{account}-signature-{number}", api_key)
            self._tasks.append(asyncio.create_task(work))

    async def stop(self) -> list[CallerRecord]:
        """Let each caller finish its request and return all records."""
        self._stopping = True
        await asyncio.gather(*self._tasks)
        return self.records

    async def _run_session(self, name: str, api_key: str, account: str, tokens: int) -> None:
        number, session_number, token = 0, 0, "new"
        while not self._stopping:
            number += 1
            entry = self._random.choice(self._cluster.entries)
            headers = {"X-Session-Token": token}
            marker = f"{name}-{number}"
            record = await ask(self._cluster, entry, api_key, account, marker, tokens, headers)
            if record.finished and record.session:
                token = record.session
            elif record.code == int(ResultCode.SESSION_VERSION_WITHDRAWN):
                session_number, token = session_number + 1, "new"
            self.records.append(replace(record, session=f"{name}/{session_number}"))
            await asyncio.sleep(self._random.uniform(0.01, 0.05))

    async def _sign(self, name: str, api_key: str) -> None:
        number = 0
        while not self._stopping:
            number += 1
            headers = {
                "Authorization": f"Bearer {api_key}",
                "Idempotency-Key": f"{name}-{number}",
            }
            sends = [self._send_signature(headers) for _ in range(2)]
            await asyncio.gather(*sends)
            await self._send_signature(headers)
            await asyncio.sleep(self._random.uniform(0.02, 0.1))

    async def _send_signature(self, headers: dict[str, str]) -> None:
        url = self._cluster.entry_url(self._random.choice(self._cluster.entries))
        try:
            async with self._cluster.session.post(
                f"{url}/waiver/signatures", data=b"signed", headers=headers
            ) as response:
                await response.read()
                self.signature_codes[response.status] += 1
        except (ClientError, TimeoutError):
            self.signature_codes[CUT] += 1

    async def _run(self, name: str, api_key: str, account: str, tokens: int) -> None:
        number = 0
        while not self._stopping:
            number += 1
            entry = self._random.choice(self._cluster.entries)
            marker = f"{name}-{number}"
            record = await ask(self._cluster, entry, api_key, account, marker, tokens)
            self.records.append(record)
            await asyncio.sleep(self._random.uniform(0.01, 0.05))
