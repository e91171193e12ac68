"""Tests the daemons of the platform under crowds of clients that do not behave.

They run as processes with the memory of the smallest hosts. Ordinary callers are served while the
crowd's connections are open, and afterwards.
"""

from itertools import count

import pytest

from crowds.misbehaving_clients import CROWDS, FRAME_CROWDS
from crowds.platform_under_crowds import (
    assert_bounded_under_crowd,
    changes_configuration,
    coordination_targets,
    gateway_targets,
    inner_targets,
    run_small_platform,
    sends_ordinary_request,
)


async def assert_coordination_host_is_bounded(folder, crowd, find_targets) -> None:
    """Check that a coordination host outlives a crowd, and goes on to take configurations.

    ``find_targets`` returns what the crowd attacks.
    """
    versions = count(2)
    async with run_small_platform(folder) as platform:
        await assert_bounded_under_crowd(
            platform,
            platform.coordinator_ips[0],
            crowd,
            find_targets(platform),
            lambda: changes_configuration(platform, next(versions)),
        )


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.name.replace(" ", "-"))
async def test_gateway_outlives_a_crowd(tmp_path, crowd):
    """Guards against clients that take a gateway's memory or descriptors, or stop its service."""
    async with run_small_platform(tmp_path) as platform:
        await assert_bounded_under_crowd(
            platform,
            platform.gateway_ips[0],
            crowd,
            gateway_targets(platform),
            lambda: sends_ordinary_request(platform),
        )


@pytest.mark.parametrize("crowd", CROWDS, ids=lambda crowd: crowd.name.replace(" ", "-"))
async def test_coordination_host_outlives_a_crowd(tmp_path, crowd):
    """Guards against clients that take a coordination host's memory or descriptors, or stop it."""
    await assert_coordination_host_is_bounded(tmp_path, crowd, coordination_targets)


@pytest.mark.parametrize("crowd", FRAME_CROWDS, ids=lambda crowd: crowd.name.replace(" ", "-"))
async def test_coordination_host_outlives_a_crowd_at_the_inner_port(tmp_path, crowd):
    """Guards against clients that speak the protocol between daemons and do not behave."""
    await assert_coordination_host_is_bounded(tmp_path, crowd, inner_targets)
