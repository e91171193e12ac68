"""The stand-in plain service and rating service."""

from aiohttp.test_utils import TestClient, TestServer

from baobabstream.emulator.answers import BAD_MARK
from baobabstream.emulator.rating import RatingApp, RatingOptions
from baobabstream.emulator.service import ServiceApp, ServiceOptions


async def test_service_counts_each_run_of_a_call():
    """Guards against double runs that no test can see."""
    app = ServiceApp(ServiceOptions("s", "127.0.0.1", 1, "zone-a", "signatures"))
    async with TestClient(TestServer(app.application())) as client:
        for _ in range(2):
            headers = {"Idempotency-Key": "k"}
            assert (await client.post("/signatures/1", headers=headers)).status == 200
        runs = await (await client.get("/emulate/v1/runs")).json()
    assert runs == {"k": 2}


async def test_rating_follows_the_mark_of_wrong_answers():
    """Guards against a rating service that calls every answer good."""
    app = RatingApp(RatingOptions("127.0.0.1", 1, work_s=0.0))
    question = {"request": "r", "model": "m", "version": "1", "question": "?", "answer": "fine"}
    async with TestClient(TestServer(app.application())) as client:
        for answer, good in (("fine", True), (f"{BAD_MARK} no", False)):
            reply = await client.post("/v1/ratings", json=question | {"answer": answer})
            assert await reply.json() == {"good": good}
