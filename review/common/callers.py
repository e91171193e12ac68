"""A caller of the platform that speaks HTTP/1.1 over one connection for each request."""

import asyncio
import secrets
from dataclasses import dataclass, field

from deployment import HOST, KEY, Deployment, Machine

__all__ = ["Answer", "send"]


@dataclass
class Answer:
    """Answer to a request; the status is 0 without one."""

    request_id: str
    sent_s: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended_s: float = 0.0


async def send(
    deployment: Deployment,
    edge: Machine,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    deadline_s: float = 4.0,
    label: str = "",
) -> Answer:
    """Send a request and return its answer, read to the end or up to the deadline."""
    record = deployment.record
    request_id = secrets.token_hex(8)
    all_headers = {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Deadline-Ms": str(int(deadline_s * 1000)),
        "X-Api-Key": KEY,
    } | (headers or {})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in all_headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    answer = Answer(request_id, record.now_s())
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(edge.ip, deployment.front_port)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            answer.sent_s = record.now_s()
            record.write(f"caller: {request_id} sent to {edge.name} {method} {path} {label}")
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, EOFError, ValueError, IndexError) as error:
        record.write(f"caller: {request_id} failed: {type(error).__name__} {error}")
    finally:
        if writer is not None:
            writer.transport.abort()
    answer.ended_s = record.now_s()
    record.write(
        f"caller: {request_id} answered {answer.status}, {len(answer.body)} bytes, "
        f"{'whole' if answer.is_whole else 'not whole'}, "
        f"stamp {answer.headers.get('x-replica-stamp', 'none')}"
    )
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read status, headers and body of an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    answer.status = int(head[0].split()[1])
    for line in head[1:]:
        name, colon, value = line.partition(":")
        if colon:
            answer.headers[name.strip().lower()] = value.strip()
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            answer.body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                break
    elif "content-length" in answer.headers:
        answer.body = await reader.readexactly(int(answer.headers["content-length"]))
    else:
        answer.body = await reader.read()
    answer.is_whole = True
