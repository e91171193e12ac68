"""Versions that a request may run on, or the reason why there are none."""

from dataclasses import dataclass, field
from random import Random

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.candidates import account_allows
from baobabstream.policy.events import RequestInfo
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import RolloutState, VersionRow, VersionState

__all__ = ["Eligibility", "Ineligible", "VersionKey"]

VersionKey = tuple[str, str]
_SHARING = (RolloutState.RUNNING, RolloutState.PAUSED)
NO_SERVER_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class Ineligible:
    """Why no version may run a request."""

    code: ResultCode
    reason: str
    retry_after_s: float | None = None


@dataclass(slots=True)
class Eligibility:
    """Finds the versions for a request.

    Attributes
    ----------
    stopped
        Versions that this entry has stopped on its own evidence, with the revision of the row at
        that time; a later change by an operator lifts the stop.
    """

    index: ServerIndex
    random: Random
    view: ClusterView = field(default_factory=ClusterView)
    stopped: dict[VersionKey, int] = field(default_factory=dict)
    _allowed: dict[tuple[str, str], list[VersionRow]] = field(default_factory=dict)
    _serving: dict[tuple[str, str], tuple[int, list[VersionRow]]] = field(default_factory=dict)
    _seen_revision: int = -1

    def set_view(self, view: ClusterView) -> list[VersionKey]:
        """Take a new view and return the versions whose local stop it lifts."""
        self.view = view
        if view.revision != self._seen_revision:
            self._seen_revision = view.revision
            self._allowed.clear()
            self._serving.clear()
        lifted = [key for key, revision in self.stopped.items() if self._revision(key) != revision]
        for key in lifted:
            del self.stopped[key]
            self._serving.clear()
        return lifted

    def stop(self, key: VersionKey) -> None:
        """Give a version no more work at this entry."""
        self.stopped[key] = self._revision(key)
        self._serving.clear()

    def find(self, request: RequestInfo) -> list[VersionRow] | Ineligible:
        """Return the versions on which the request may run now."""
        if request.pinned_version:
            return self._pinned(request)
        allowed = self._allowed_rows(request.client_account, request.model)
        if not allowed:
            return self._why_none(request)
        rows = self._rollout_choice(self._serving_rows(request, allowed))
        if not rows:
            return Ineligible(
                ResultCode.NO_BACKEND_SERVER,
                "no backend server has an allowed version loaded that is in service",
                NO_SERVER_RETRY_S,
            )
        return rows

    def may_run(self, request: RequestInfo, key: VersionKey) -> bool:
        """Return whether a version may still take a request that waited."""
        row = self.view.versions.get(key)
        if row is None or key in self.stopped or row.state is not VersionState.ACTIVE:
            return False
        account = self.view.accounts.get(request.client_account)
        return account is not None and account_allows(account, *key)

    def _revision(self, key: VersionKey) -> int:
        entry = self.view.rows.get(f"version/{key[0]}@{key[1]}")
        return entry.revision if entry is not None else 0

    def _serving_rows(self, request: RequestInfo, allowed: list[VersionRow]) -> list[VersionRow]:
        name = (request.client_account, request.model)
        known = self._serving.get(name)
        if known is None or known[0] != self.index.changes:
            known = (self.index.changes, [row for row in allowed if self._serves(row)])
            self._serving[name] = known
        return known[1]

    def _serves(self, row: VersionRow) -> bool:
        key = (row.model, row.version)
        return key not in self.stopped and bool(self.index.engines(key))

    def _allowed_rows(self, account_name: str, model: str) -> list[VersionRow]:
        rows = self._allowed.get((account_name, model))
        if rows is None:
            account = self.view.accounts.get(account_name)
            rows = [
                row
                for row in self.view.versions.values()
                if account is not None
                and row.state is VersionState.ACTIVE
                and (not model or row.model == model)
                and account_allows(account, row.model, row.version)
            ]
            self._allowed[account_name, model] = rows
        return rows

    def _why_none(self, request: RequestInfo) -> Ineligible:
        rows = [
            row
            for row in self.view.versions.values()
            if not request.model or row.model == request.model
        ]
        if request.model and not rows:
            return Ineligible(ResultCode.UNKNOWN_MODEL, f"no model {request.model}")
        account = self.view.accounts.get(request.client_account)
        if account is None or not any(account_allows(account, r.model, r.version) for r in rows):
            return Ineligible(
                ResultCode.MODEL_NOT_ALLOWED,
                f"account {request.client_account} allows no version of "
                f"{request.model or 'any model'}",
            )
        return Ineligible(
            ResultCode.NO_BACKEND_SERVER,
            "every allowed version is stopped or withdrawn",
            NO_SERVER_RETRY_S,
        )

    def _pinned(self, request: RequestInfo) -> list[VersionRow] | Ineligible:
        key = (request.model, request.pinned_version)
        name = f"{key[0]}@{key[1]}"
        row = self.view.versions.get(key)
        if row is None or row.state is not VersionState.ACTIVE or key in self.stopped:
            state = (
                "unknown" if row is None else "stopped here" if key in self.stopped else row.state
            )
            return Ineligible(
                ResultCode.SESSION_VERSION_WITHDRAWN, f"the session's version {name} is {state}"
            )
        account = self.view.accounts.get(request.client_account)
        if account is None or not account_allows(account, *key):
            return Ineligible(
                ResultCode.MODEL_NOT_ALLOWED,
                f"account {request.client_account} does not allow {name}",
            )
        if not self.index.engines(key):
            return Ineligible(
                ResultCode.NO_BACKEND_SERVER,
                f"no backend server has the session's version {name}",
                NO_SERVER_RETRY_S,
            )
        return [row]

    def _rollout_choice(self, rows: list[VersionRow]) -> list[VersionRow]:
        """Leave, of the two versions of a rollout, the one that the share selects."""
        if not self.view.rollouts:
            return rows
        present = {(row.model, row.version) for row in rows}
        excluded: set[VersionKey] = set()
        for rollout in self.view.rollouts.values():
            old = (rollout.model, rollout.from_version)
            new = (rollout.model, rollout.to_version)
            if rollout.state is RolloutState.COMPLETED:
                if new in present:
                    excluded.add(old)
            elif rollout.state in _SHARING:
                if old in present and new in present:
                    excluded.add(old if self.random.random() < rollout.share else new)
            else:
                excluded.add(new)
        return [row for row in rows if (row.model, row.version) not in excluded]
