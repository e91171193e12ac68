"""Two control hosts in one process, with real sockets but without elections, for tests."""

import json
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientSession

from baobabstream.consensus.command_log import LocalLog
from baobabstream.control import group_member as group_member_module
from baobabstream.control.daemon import ControlDaemon
from baobabstream.control.state import ConfigState
from baobabstream.settings.models import ControlSettings
from baobabstream.wire.consensus_messages import Member, Membership
from free_ports import free_ports

__all__ = ["BACKEND_KEY", "ENTRY_LEASE_S", "OPERATOR_KEY", "Client", "Group", "group"]

OPERATOR_KEY, BACKEND_KEY = "operator-key-0123456", "backend-key-01234567"
# Short, so that the tests need not wait long for a lease to end.
ENTRY_LEASE_S = 0.5


class Client:
    """HTTP client of one control host, for calls of operators and backend servers."""

    def __init__(self, session: ClientSession, port: int) -> None:
        self._session = session
        self.port = port

    async def call(
        self, method: str, path: str, body: Any = None, key: str = OPERATOR_KEY
    ) -> tuple[int, Any]:
        """Send a request and return its status and JSON answer.

        A path without a leading slash is below ``/admin/v1/``.
        """
        prefix = "" if path.startswith("/") else "/admin/v1/"
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        headers = {"Authorization": f"Bearer {key}"}
        url = f"http://127.0.0.1:{self.port}{prefix}{path}"
        async with self._session.request(method, url, data=data, headers=headers) as answer:
            return answer.status, await answer.json()

    async def get(self, path: str) -> Any:
        """Return the JSON answer of a successful GET as operator."""
        status, document = await self.call("GET", path)
        assert status == 200, document
        return document

    async def post_action(self, path: str, change_id: str, **fields: Any) -> tuple[int, Any]:
        """Post a change or action as operator and return its status and JSON answer."""
        return await self.call("POST", path, {"change_id": change_id} | fields)

    async def put_rows(self, change_id: str, *rows: dict[str, Any]) -> int:
        """Put rows on the present operator revision and return the new revision."""
        present_revision = (await self.get("config"))["operator_revision"]
        status, document = await self.post_action(
            "changes", change_id, base_revision=present_revision, put=rows
        )
        assert status == 200, document
        return document["revision"]


class OneLeaderLog(LocalLog):
    """Log in which ``control-0`` always leads, so that the tests need no election.

    Its membership names a learner, ``control-9``, that is missing in the settings.
    """

    @property
    def membership(self) -> Membership:
        return Membership((Member("m0", "control-0"),), (Member("m9", "control-9"),))

    async def start(self) -> None:
        pass

    async def stop(self) -> None:
        pass


def open_local_log(settings: ControlSettings, state: ConfigState, *_: Any) -> OneLeaderLog:
    """Return a log without peers, in place of the function that opens the replicated log."""
    settings.data_folder.mkdir()
    return OneLeaderLog("control-0", state.apply)


class Group:
    """Two control hosts and a client of each; the first host leads."""

    def __init__(self, folder: Path, session: ClientSession) -> None:
        ports = free_ports(4)
        peers = [
            {
                "host": f"control-{n}",
                "availability_zone": f"z{n}",
                "port": ports[2 * n],
                "http_port": ports[2 * n + 1],
            }
            for n in range(2)
        ]
        self.daemons = [
            ControlDaemon(
                ControlSettings(
                    cluster="test",
                    host=f"control-{n}",
                    availability_zone=f"z{n}",
                    peer_secret="peer-secret-01234567",
                    control=peers,
                    data_folder=folder / f"data-{n}",
                    operator_keys={"op": OPERATOR_KEY},
                    backend_key=BACKEND_KEY,
                    entry_lease_s=ENTRY_LEASE_S,
                )
            )
            for n in range(2)
        ]
        self.leader, self.follower = (Client(session, ports[2 * n + 1]) for n in range(2))


@pytest.fixture
async def group(tmp_path: Path, monkeypatch):
    """Start two control hosts and stop them after the test."""
    monkeypatch.setattr(group_member_module, "open_log", open_local_log)
    async with ClientSession() as session:
        started_group = Group(tmp_path, session)
        for daemon in started_group.daemons:
            await daemon.start()
        yield started_group
        for daemon in started_group.daemons:
            await daemon.stop()
