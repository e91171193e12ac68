"""Operators that race each other with equal revision numbers and resend changes."""

import asyncio
from dataclasses import dataclass
from random import Random
from typing import Any

from system.cluster import Cluster
from system.history import Violation
from system.rows import class_row

__all__ = ["ChangeRecord", "Operators", "check_changes"]

ACCEPTED = 200
CONFLICT = 409


@dataclass(frozen=True)
class ChangeRecord:
    """A change and the answers that its sends gave, in order; status 0 means no answer."""

    change_id: str
    base_revision: int
    key: str
    value: float
    answers: tuple[tuple[int, int], ...]

    @property
    def accepted(self) -> bool:
        """Whether any send was answered as accepted."""
        return any(status == ACCEPTED for status, _ in self.answers)


class Operators:
    """Two operators that change the same class of work until told to stop.

    Both read the revision at the same time, so that their changes carry equal numbers. Each sends
    its change two times, through different control hosts, as if the first answer was lost.
    """

    def __init__(self, cluster: Cluster, random: Random) -> None:
        self._cluster = cluster
        self._random = random
        self._stopping = False
        self._task: asyncio.Task[None] | None = None
        self.records: list[ChangeRecord] = []

    def start(self) -> None:
        """Start the operators."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> list[ChangeRecord]:
        """Let the present round finish and return all records."""
        self._stopping = True
        assert self._task is not None
        await self._task
        return self.records

    async def _run(self) -> None:
        number = 0
        while not self._stopping:
            code, config = await self._cluster.admin("GET", "/config")
            if code == ACCEPTED:
                base = config["operator_revision"]
                pair = (self._change(f"a{number}", base), self._change(f"b{number}", base))
                self.records += await asyncio.gather(*pair)
                number += 1
            await asyncio.sleep(self._random.uniform(0.05, 0.2))

    async def _change(self, change_id: str, base_revision: int) -> ChangeRecord:
        value = 10_000 + self._random.randrange(1_000_000)
        row = class_row("raced") | {"total_ms": value}
        body = {"change_id": change_id, "base_revision": base_revision, "put": [row]}
        hosts = self._random.sample(self._cluster.controls, 2)
        answers = [await self._send(body, host) for host in hosts]
        while not 200 <= answers[-1][0] < 500 and not self._stopping:
            answers.append(await self._send(body, self._random.choice(self._cluster.controls)))
        return ChangeRecord(change_id, base_revision, "class/raced", value, tuple(answers))

    async def _send(self, body: dict[str, Any], host: str) -> tuple[int, int]:
        status, answer = await self._cluster.admin("POST", "/changes", body, host=host)
        revision = answer["revision"] if status == ACCEPTED else 0
        return status, revision


def check_changes(records: list[ChangeRecord], final_value: float) -> list[Violation]:
    """Check that racing changes have one winner, resends agree, and the last winner stays."""
    violations = []
    winners: dict[int, list[ChangeRecord]] = {}
    for record in records:
        revisions = {revision for status, revision in record.answers if status == ACCEPTED}
        if len(revisions) > 1:
            violations.append(Violation("resend", f"{record.change_id}: revisions {revisions}"))
        statuses = {status for status, _ in record.answers}
        if record.accepted and CONFLICT in statuses:
            violations.append(Violation("resend", f"{record.change_id}: accepted and refused"))
        if record.accepted:
            winners.setdefault(record.base_revision, []).append(record)
    violations += [
        Violation("race", f"base {base}: {len(group)} accepted")
        for base, group in winners.items()
        if len(group) > 1
    ]
    if winners:
        last = winners[max(winners)][0]
        unknown = {
            record.value
            for record in records
            if record.base_revision >= last.base_revision and not record.accepted
        }
        if final_value != last.value and final_value not in unknown:
            violations.append(Violation("reverted", f"{final_value} instead of {last.value}"))
    return violations
