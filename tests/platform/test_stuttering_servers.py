"""Tests that a second answer of a server reaches no caller, whatever the framing of both."""

from itertools import count, product

import pytest

from platform_stand_in import PlatformHarness
from server_links import CutKind
from stuttering_server import Framing, Stutter, StutteringServer, whole_body
from waiting import until

SERVICES = {"chat": "engine", "look": "app", "sign": "app"}
# With the first answer, in its next packets, and on a connection that is idle by then.
DELAYS_S = (0.0, 0.01, 0.1)


@pytest.fixture
async def platform(tmp_path):
    """One coordination host, and two gateways of which the first one may need tunnels."""
    async with PlatformHarness(tmp_path, coordinators=1, gateways=2) as platform:
        yield platform


@pytest.mark.parametrize("is_tunnelled", [False, True])
@pytest.mark.parametrize("kind", list(SERVICES))
async def test_caller_gets_only_the_first_of_two_answers(platform, kind, is_tunnelled):
    """Guards against the second answer of a server inside a body, or as that of the next request.

    A body with neither a length nor chunks took in all that followed on its connection.
    """
    server = StutteringServer("i-1", SERVICES[kind])
    other = StutteringServer("i-2", "app" if kind == "chat" else "engine")
    await platform.start_with_backends(server, other)
    if is_tunnelled:
        platform.links.cut(platform.gateway_ips[0], CutKind.RESET)
        await platform.send_request(f"/{kind}/0", "r0")
        paths = platform.gateways[platform.gateway_ips[0]].context.paths
        await until(lambda: paths.lost_servers)
    numbers = count(1)
    for first, second, delay_s, does_close in product(Framing, Framing, DELAYS_S, (False, True)):
        server.stutter = Stutter(first, second, delay_s, closes=does_close)
        server.stutters_left = 1
        path = f"/{kind}/{next(numbers)}"
        status, _, body = await platform.send_request(path, f"r{next(numbers)}")
        assert (status, body) == (200, whole_body(path)), server.stutter
        path = f"/{kind}/{next(numbers)}"
        status, _, body = await platform.send_request(path, f"r{next(numbers)}")
        # The second answer may have begun on the connection in place of that of the request.
        is_own_answer = (status, body) == (200, whole_body(path))
        assert is_own_answer or (status == 502 and kind == "sign"), server.stutter


@pytest.mark.parametrize("framing", list(Framing))
@pytest.mark.parametrize("sent_bytes", [12, 40, None])
async def test_error_after_a_part_of_an_answer_is_no_part_of_it(platform, framing, sent_bytes):
    """Guards against a success with the text of an error, or with a body that is cut short."""
    servers = [StutteringServer(f"i-{n}", service) for n, service in enumerate(["engine", "app"])]
    await platform.start_with_backends(*servers)
    for path, expected in (("/chat/1", 200), ("/look/2", 200), ("/sign/3", 502)):
        for server in servers:
            server.stutter = Stutter(
                Framing.CONNECTION, framing, 0.01, second_status=500, second_bytes=sent_bytes
            )
            server.stutters_left = 1
        status, _, body = await platform.send_request(path, f"r{path}")
        assert status == expected
        assert status != 200 or body == whole_body(path)
