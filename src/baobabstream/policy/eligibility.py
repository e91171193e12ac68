"""Versions that a request may run on, or the reason why there are none.

An entry is a host process that accepts requests and sends them to backend servers. A version may
run a request if it is active, the client account allows it, this entry has not stopped it, and an
engine (a backend server that runs models) has it loaded. An entry stops a version when the results
of its own requests have become worse; other entries are not affected. A rollout replaces an old
version by a new one and splits the requests between them by its share, the fraction that the new
version gets. A request is pinned to a version if it belongs to a session that must stay on it.

The configuration consists of rows (of accounts, versions and so on). Each change of a row raises
the revision of the configuration, and the row keeps the revision of its last change. A view holds
the configuration and the announced backend servers.
"""

from dataclasses import dataclass, field
from random import Random

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.candidates import account_allows
from baobabstream.policy.events import RequestInfo
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import RolloutState, VersionRow, VersionState

__all__ = ["Eligibility", "NoEligibleVersion", "VersionKey"]

# Model name and version.
VersionKey = tuple[str, str]
# Rollout states in which requests are split between the old and the new version.
_SPLIT_STATES = (RolloutState.RUNNING, RolloutState.PAUSED)
# Time after which a caller is told to try again when no server has an eligible version loaded.
NO_SERVER_RETRY_S = 2.0


@dataclass(frozen=True, slots=True)
class NoEligibleVersion:
    """Why no version may run a request.

    Attributes
    ----------
    code
        Result that the caller gets.
    reason
        Text for the operator.
    retry_after_s
        Time in seconds after which the caller may try again, or None to name no time.
    """

    code: ResultCode
    reason: str
    retry_after_s: float | None = None


@dataclass(slots=True)
class Eligibility:
    """Finds the versions that a request may run on.

    Attributes
    ----------
    server_index
        Engines by version.
    random
        Random source that splits requests between the versions of a rollout.
    view
        Configuration and backend servers, as known at this entry.
    stopped_revisions
        Versions that this entry has stopped on its own evidence, with the revision of the
        version's row at that time; a later change of the row by an operator lifts the stop.
    _allowed_rows_cache
        Allowed active versions by client account and model; valid for ``_cached_revision``.
    _serving_rows_cache
        Those that engines serve, by client account and model, with the change count of
        ``server_index`` for which they are valid.
    _cached_revision
        Revision of the view for which ``_allowed_rows_cache`` is valid; -1 before the first view.
    """

    server_index: ServerIndex
    random: Random
    view: ClusterView = field(default_factory=ClusterView)
    stopped_revisions: dict[VersionKey, int] = field(default_factory=dict)
    _allowed_rows_cache: dict[tuple[str, str], list[VersionRow]] = field(default_factory=dict)
    _serving_rows_cache: dict[tuple[str, str], tuple[int, list[VersionRow]]] = field(
        default_factory=dict
    )
    _cached_revision: int = -1

    def set_view(self, view: ClusterView) -> list[VersionKey]:
        """Replace the view and return the versions whose stop at this entry it lifts."""
        self.view = view
        if view.revision != self._cached_revision:
            self._cached_revision = view.revision
            self._allowed_rows_cache.clear()
            self._serving_rows_cache.clear()
        lifted = [
            key
            for key, revision in self.stopped_revisions.items()
            if self._row_revision(key) != revision
        ]
        for key in lifted:
            del self.stopped_revisions[key]
            self._serving_rows_cache.clear()
        return lifted

    def stop(self, version_key: VersionKey) -> None:
        """Exclude a version at this entry until its row changes."""
        self.stopped_revisions[version_key] = self._row_revision(version_key)
        self._serving_rows_cache.clear()

    def find_versions(self, request: RequestInfo) -> list[VersionRow] | NoEligibleVersion:
        """Return the versions on which the request may run now, or why there are none.

        Of the two versions of a rollout only one is returned, drawn anew by each call.
        """
        if request.pinned_version:
            return self._find_pinned_version(request)
        allowed_rows = self._allowed_rows(request.client_account, request.model)
        if not allowed_rows:
            return self._explain_none_allowed(request)
        rows = self._split_rollouts(self._serving_rows(request, allowed_rows))
        if not rows:
            return NoEligibleVersion(
                ResultCode.NO_BACKEND_SERVER,
                "no backend server has an allowed version loaded that is in service",
                NO_SERVER_RETRY_S,
            )
        return rows

    def may_run(self, request: RequestInfo, version_key: VersionKey) -> bool:
        """Return whether a version is still active and allowed for a request that waited.

        Whether an engine has it loaded is not checked.
        """
        row = self.view.versions.get(version_key)
        if (
            row is None
            or version_key in self.stopped_revisions
            or row.state is not VersionState.ACTIVE
        ):
            return False
        account = self.view.accounts.get(request.client_account)
        return account is not None and account_allows(account, *version_key)

    def _row_revision(self, version_key: VersionKey) -> int:
        """Return the revision of a version's configuration row, or 0 if there is none."""
        row_entry = self.view.rows.get(f"version/{version_key[0]}@{version_key[1]}")
        return row_entry.revision if row_entry is not None else 0

    def _serving_rows(
        self, request: RequestInfo, allowed_rows: list[VersionRow]
    ) -> list[VersionRow]:
        """Return the allowed versions that engines serve; cached until the index changes."""
        cache_key = (request.client_account, request.model)
        cached = self._serving_rows_cache.get(cache_key)
        if cached is None or cached[0] != self.server_index.change_count:
            cached = (
                self.server_index.change_count,
                [row for row in allowed_rows if self._is_served(row)],
            )
            self._serving_rows_cache[cache_key] = cached
        return cached[1]

    def _is_served(self, row: VersionRow) -> bool:
        """Return whether a version is not stopped at this entry and loaded on an engine."""
        version_key = (row.model, row.version)
        return version_key not in self.stopped_revisions and bool(
            self.server_index.engine_identities(version_key)
        )

    def _allowed_rows(self, account_name: str, model: str) -> list[VersionRow]:
        """Return the active versions that an account allows, of one model or, if empty, of all."""
        rows = self._allowed_rows_cache.get((account_name, model))
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
            self._allowed_rows_cache[account_name, model] = rows
        return rows

    def _explain_none_allowed(self, request: RequestInfo) -> NoEligibleVersion:
        """Return why a request has no active version that its client account allows."""
        rows = [
            row
            for row in self.view.versions.values()
            if not request.model or row.model == request.model
        ]
        if request.model and not rows:
            return NoEligibleVersion(ResultCode.UNKNOWN_MODEL, f"no model {request.model}")
        account = self.view.accounts.get(request.client_account)
        if account is None or not any(
            account_allows(account, row.model, row.version) for row in rows
        ):
            return NoEligibleVersion(
                ResultCode.MODEL_NOT_ALLOWED,
                f"account {request.client_account} allows no version of "
                f"{request.model or 'any model'}",
            )
        return NoEligibleVersion(
            ResultCode.NO_BACKEND_SERVER,
            "every allowed version is stopped or withdrawn",
            NO_SERVER_RETRY_S,
        )

    def _find_pinned_version(self, request: RequestInfo) -> list[VersionRow] | NoEligibleVersion:
        """Return the version that a session is pinned to, or why it may not run the request.

        The version is the only row of the list. The session is never moved to another version.
        """
        version_key = (request.model, request.pinned_version)
        version_name = f"{version_key[0]}@{version_key[1]}"
        row = self.view.versions.get(version_key)
        if (
            row is None
            or row.state is not VersionState.ACTIVE
            or version_key in self.stopped_revisions
        ):
            state = (
                "unknown"
                if row is None
                else "stopped here" if version_key in self.stopped_revisions else row.state
            )
            return NoEligibleVersion(
                ResultCode.SESSION_VERSION_WITHDRAWN,
                f"the session's version {version_name} is {state}",
            )
        account = self.view.accounts.get(request.client_account)
        if account is None or not account_allows(account, *version_key):
            return NoEligibleVersion(
                ResultCode.MODEL_NOT_ALLOWED,
                f"account {request.client_account} does not allow {version_name}",
            )
        if not self.server_index.engine_identities(version_key):
            return NoEligibleVersion(
                ResultCode.NO_BACKEND_SERVER,
                f"no backend server has the session's version {version_name}",
                NO_SERVER_RETRY_S,
            )
        return [row]

    def _split_rollouts(self, rows: list[VersionRow]) -> list[VersionRow]:
        """Keep one of the two versions of each rollout, drawn by the rollout's share.

        The old version of a completed rollout is kept only while the new one is not served. A
        rollout that neither splits requests nor is completed excludes its new version.
        """
        if not self.view.rollouts:
            return rows
        served_keys = {(row.model, row.version) for row in rows}
        excluded_keys: set[VersionKey] = set()
        for rollout in self.view.rollouts.values():
            old_key = (rollout.model, rollout.from_version)
            new_key = (rollout.model, rollout.to_version)
            if rollout.state is RolloutState.COMPLETED:
                if new_key in served_keys:
                    excluded_keys.add(old_key)
            elif rollout.state in _SPLIT_STATES:
                if old_key in served_keys and new_key in served_keys:
                    excluded_keys.add(old_key if self.random.random() < rollout.share else new_key)
            else:
                excluded_keys.add(new_key)
        return [row for row in rows if (row.model, row.version) not in excluded_keys]
