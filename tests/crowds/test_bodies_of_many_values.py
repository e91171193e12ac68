"""Tests bodies of legal size that consist of very many short values.

Once they are decoded, such bodies take a large multiple of their size.
"""

import pytest

from crowds.misbehaving_clients import MAX_BODY_BYTES, Crowd
from crowds.platform_under_crowds import coordination_targets
from crowds.test_own_front_crowds import assert_host_is_bounded, run_hosts
from crowds.test_platform_crowds import assert_coordination_host_is_bounded
from crowds.test_requests_at_limits import send

CROWD_SIZE = 10
# Pause after a body, in which the last of its bytes leave the client.
PAUSE_S = 1.0
CHAT_START = '{"model":"auto","max_tokens":2,"messages":'
# Begin, repeated part without its comma, and end of a JSON text.
CHAT_BODIES = {
    "unknown-lists": (f'{CHAT_START}[{{"role":"user","content":"x"}}],"extra":[', "[]", "]}"),
    "unknown-objects": (f'{CHAT_START}[{{"role":"user","content":"x"}}],"extra":[', "{}", "]}"),
    "messages": (f"{CHAT_START}[", '{"role":"u"}', "]}"),
    "parts-of-a-message": (f'{CHAT_START}[{{"role":"user","content":[', "{}", "]}]}"),
    "invalid-messages": (f"{CHAT_START}[", "0", "]}"),
    "invalid-parts": (f'{CHAT_START}[{{"role":"user","content":[', "0", "]}]}"),
}
CONFIG_BODIES = {
    "services": ('{"version":9,"routes":[],"tenants":[],"services":[', '{"name":"ab"}', "]}"),
    "accounts": (
        '{"version":9,"routes":[],"services":[],"tenants":[',
        '{"name":"ab","api_keys":[]}',
        "]}",
    ),
    "keys-of-an-account": (
        '{"version":9,"routes":[],"services":[],"tenants":[{"name":"a","api_keys":[',
        '"ab"',
        "]}]}",
    ),
}


def body_of_many_values(begin: str, part: str, end: str) -> bytes:
    """Return a JSON text of the largest legal size."""
    count = (MAX_BODY_BYTES - len(begin) - len(end) + 1) // (len(part) + 1)
    return (begin + ",".join([part] * count) + end).encode()


def crowd_of(body: bytes) -> Crowd:
    """Return a crowd that sends a whole body, and leaves the answer unread."""
    return Crowd(
        "bodies of many values",
        CROWD_SIZE,
        lambda target: iter((target.head(f"Content-Length: {len(body)}") + body,)),
        gap_s=PAUSE_S,
    )


@pytest.mark.parametrize("kind", CHAT_BODIES)
async def test_entry_host_outlives_bodies_of_many_values(tmp_path, kind):
    """Guards against a chat request whose decoded body, or whose errors, take all memory."""
    async with run_hosts(tmp_path) as hosts:
        crowd = crowd_of(body_of_many_values(*CHAT_BODIES[kind]))
        targets = hosts.entry_targets()[:1]
        await assert_host_is_bounded(hosts, "entry-1", crowd, targets, hosts.serves_caller)


async def test_long_text_of_commas_and_brackets_is_served(tmp_path):
    """Guards against a text that is refused since it looks like many values."""
    body = body_of_many_values(f'{CHAT_START}[{{"role":"user","content":"', "[{", '"}]}')
    async with run_hosts(tmp_path) as hosts:
        target = hosts.entry_targets()[0]
        blocks = [target.head(f"Content-Length: {len(body)}"), body]
        assert b" 200 " in await send(target.ip, target.port, blocks)


@pytest.mark.parametrize("kind", CONFIG_BODIES)
async def test_coordination_host_outlives_bodies_of_many_values(tmp_path, kind):
    """Guards against a configuration whose decoded form takes all memory, before it is refused."""
    crowd = crowd_of(body_of_many_values(*CONFIG_BODIES[kind]))
    await assert_coordination_host_is_bounded(
        tmp_path, crowd, lambda platform: coordination_targets(platform)[:1]
    )
