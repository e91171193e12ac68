"""Tests what a gateway concludes from the connections that it loses."""

import asyncio
from types import SimpleNamespace

import pytest

from baobabstream.gateway.request_execution import RequestExecution


async def test_cancelled_request_does_not_cancel_the_checks_of_its_servers(context):
    """Guards against a crash that goes unnoticed as the request's deadline passes meanwhile."""
    request = SimpleNamespace(route=SimpleNamespace(model_names=()), model="small")
    execution = RequestExecution(request, None, context)
    checks = [asyncio.create_task(asyncio.sleep(0.2, True)) for _ in range(2)]
    execution._recorder.crash_checks.extend(checks)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await execution._refuse_if_quarantined()
    assert [await check for check in checks] == [True, True]
