"""Versions that a request may run on, as used by the baseline policies.

A rollout replaces an old version of a model by a new one and splits the requests between them by
its share, the fraction that the new version gets. A request is pinned to a version if it belongs to
a session that must stay on it. A view holds the configuration and the announced backend servers.
"""

from random import Random

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import AccountRow, RolloutState, VersionRow, VersionState

__all__ = ["account_allows", "allowed_versions"]

# Rollout states in which requests are split between the old and the new version.
_SPLIT_STATES = (RolloutState.RUNNING, RolloutState.PAUSED)


def account_allows(account: AccountRow, model: str, version: str) -> bool:
    """Return whether an account lists a model by its name, or the version as ``model@version``."""
    return model in account.models or f"{model}@{version}" in account.models


def allowed_versions(view: ClusterView, request: RequestInfo, random: Random) -> list[VersionRow]:
    """Return the versions that a request may run on.

    Parameters
    ----------
    view
        Configuration and backend servers.
    request
        The request. A pinned version restricts the result to that version.
    random
        Random source that selects, by the rollout's share, the old or the new version.

    Returns
    -------
    list of VersionRow
        Active versions that the account allows; of a rollout's two versions at most one, unless
        the request is pinned.
    """
    account = view.accounts.get(request.client_account)
    if account is None:
        return []
    allowed_rows = [
        row
        for row in view.versions.values()
        if row.state is VersionState.ACTIVE
        and (not request.model or row.model == request.model)
        and account_allows(account, row.model, row.version)
    ]
    if request.pinned_version:
        return [row for row in allowed_rows if row.version == request.pinned_version]
    excluded_keys = _excluded_by_rollouts(view, allowed_rows, random)
    return [row for row in allowed_rows if (row.model, row.version) not in excluded_keys]


def _excluded_by_rollouts(
    view: ClusterView, allowed_rows: list[VersionRow], random: Random
) -> set[tuple[str, str]]:
    """Return the model and version pairs that the rollouts exclude for one request.

    A completed rollout excludes its old version. One that splits requests excludes one of its
    versions, drawn by its share, if both are allowed. All other rollouts exclude the new version.
    """
    allowed_keys = {(row.model, row.version) for row in allowed_rows}
    excluded_keys = set()
    for rollout in view.rollouts.values():
        old_key = (rollout.model, rollout.from_version)
        new_key = (rollout.model, rollout.to_version)
        if rollout.state is RolloutState.COMPLETED:
            excluded_keys.add(old_key)
        elif rollout.state in _SPLIT_STATES and old_key in allowed_keys and new_key in allowed_keys:
            excluded_keys.add(old_key if random.random() < rollout.share else new_key)
        else:
            excluded_keys.add(new_key)
    return excluded_keys
