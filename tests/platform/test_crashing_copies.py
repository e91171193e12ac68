"""Tests that copies of a request which crashes backend servers are kept away from all of them."""

import pytest

from crashing_copies import COUNTED_CRASHES, CopiesScenario, play_copies


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param(CopiesScenario(copies=8, pause_s=4.0), id="streams-at-one-moment"),
        pytest.param(
            CopiesScenario(path="/sign/1", copies=8, pause_s=4.0), id="orders-at-one-moment"
        ),
        pytest.param(
            CopiesScenario(begins_answer=True, delay_s=0.8), id="long-after-the-first-event"
        ),
        pytest.param(
            CopiesScenario(path="/look/1", begin_s=1.2, runs_on=True),
            id="after-the-gateway-gave-up",
        ),
        pytest.param(
            CopiesScenario(begin_s=0.6, caller_patience_s=0.4, runs_on=True),
            id="after-the-caller-left",
        ),
    ],
)
async def test_request_that_crashed_three_servers_is_kept_from_the_others(scenario, tmp_path):
    """Guards against copies of a request that go on crashing servers after the third crash.

    The crashes come at one moment, after much of an answer, or after the request was given up.
    """
    report = await play_copies(scenario, tmp_path)
    assert report.crashes >= COUNTED_CRASHES
    assert not report.is_broken, report
    assert report.served_fraction > 0.9
