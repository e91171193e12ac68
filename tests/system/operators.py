"""Operators that send conflicting changes on the same base revision and resend each change."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

from system.cluster import Cluster
from system.history import Violation
from system.rows import class_row

__all__ = ["ChangeRecord", "Operators", "check_changes"]

HTTP_OK = 200
HTTP_CONFLICT = 409


@dataclass(frozen=True)
class ChangeRecord:
    """A configuration change and its answers.

    Attributes
    ----------
    change_id
        Identity of the change, the same for every send.
    base_revision
        Revision that the change replaces.
    key, value
        Key of the changed row, and the new value of its field ``total_ms``.
    answers
        HTTP status and revision of each send, in order; status 0 means no answer.
    """

    change_id: str
    base_revision: int
    key: str
    value: float
    answers: tuple[tuple[int, int], ...]

    @property
    def accepted(self) -> bool:
        """Whether any send was answered as accepted."""
        return any(status == HTTP_OK for status, _ in self.answers)


class Operators:
    """Two operators that change the same class of work until they are stopped.

    Both base their changes on the same revision, so at most one of them may be accepted. Each sends
    its change two times, through different control hosts, as if the first answer was lost.
    """

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        self._is_stopping = False
        self._task: asyncio.Task[None] | None = None
        self.records: list[ChangeRecord] = []

    def start(self) -> None:
        """Start the operators."""
        self._task = asyncio.create_task(self._send_conflicting_changes())

    async def stop(self) -> list[ChangeRecord]:
        """Let the current pair of changes finish and return all records."""
        self._is_stopping = True
        assert self._task is not None
        await self._task
        return self.records

    async def _send_conflicting_changes(self) -> None:
        """Send pairs of conflicting changes until stopped."""
        pair_number = 0
        while not self._is_stopping:
            status, config = await self._cluster.admin("GET", "/config")
            if status == HTTP_OK:
                base_revision = config["operator_revision"]
                changes = (
                    self._send_change(f"a{pair_number}", base_revision),
                    self._send_change(f"b{pair_number}", base_revision),
                )
                self.records += await asyncio.gather(*changes)
                pair_number += 1
            await asyncio.sleep(self._random.uniform(0.05, 0.2))

    async def _send_change(self, change_id: str, base_revision: int) -> ChangeRecord:
        """Send one change two times, then again until it is accepted or refused."""
        value = 10_000 + self._random.randrange(1_000_000)
        row = class_row("raced") | {"total_ms": value}
        body = {"change_id": change_id, "base_revision": base_revision, "put": [row]}
        hosts = self._random.sample(self._cluster.controls, 2)
        answers = [await self._send(body, host) for host in hosts]
        while not 200 <= answers[-1][0] < 500 and not self._is_stopping:
            answers.append(await self._send(body, self._random.choice(self._cluster.controls)))
        return ChangeRecord(change_id, base_revision, "class/raced", value, tuple(answers))

    async def _send(self, body: dict[str, Any], host: str) -> tuple[int, int]:
        """Send a change to a host; return the HTTP status and the new revision, 0 if none."""
        status, answer = await self._cluster.admin("POST", "/changes", body, host=host)
        revision = answer["revision"] if status == HTTP_OK else 0
        return status, revision


def check_changes(records: list[ChangeRecord], final_value: float) -> list[Violation]:
    """Check the histories of conflicting changes.

    At most one change on a base revision is accepted, all sends of a change get the same outcome,
    and the last accepted value, or one whose outcome is unknown, is ``final_value``.
    """
    violations = []
    accepted_by_base: dict[int, list[ChangeRecord]] = {}
    for record in records:
        revisions = {revision for status, revision in record.answers if status == HTTP_OK}
        if len(revisions) > 1:
            violations.append(Violation("resend", f"{record.change_id}: revisions {revisions}"))
        statuses = {status for status, _ in record.answers}
        if record.accepted and HTTP_CONFLICT in statuses:
            violations.append(Violation("resend", f"{record.change_id}: accepted and refused"))
        if record.accepted:
            accepted_by_base.setdefault(record.base_revision, []).append(record)
    violations += [
        Violation("race", f"base {base_revision}: {len(accepted_changes)} accepted")
        for base_revision, accepted_changes in accepted_by_base.items()
        if len(accepted_changes) > 1
    ]
    if accepted_by_base:
        last_accepted = accepted_by_base[max(accepted_by_base)][0]
        possible_values = {
            record.value
            for record in records
            if record.base_revision >= last_accepted.base_revision and not record.accepted
        }
        if final_value != last_accepted.value and final_value not in possible_values:
            violations.append(
                Violation("reverted", f"{final_value} instead of {last_accepted.value}")
            )
    return violations
