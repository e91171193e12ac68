"""Versions that a request may run on."""

from random import Random

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import AccountRow, RolloutState, VersionRow, VersionState

__all__ = ["account_allows", "allowed_versions"]

_SHARING = (RolloutState.RUNNING, RolloutState.PAUSED)


def account_allows(account: AccountRow, model: str, version: str) -> bool:
    """Return whether an account may use a model version."""
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
        Source that decides, by the roll-out's share, between old and new version.

    Returns
    -------
    list of VersionRow
        Allowed versions, neither stopped nor withdrawn; of a roll-out's two versions only one.
    """
    account = view.accounts.get(request.client_account)
    if account is None:
        return []
    allowed = [
        row
        for row in view.versions.values()
        if row.state is VersionState.ACTIVE
        and (not request.model or row.model == request.model)
        and account_allows(account, row.model, row.version)
    ]
    if request.pinned_version:
        return [row for row in allowed if row.version == request.pinned_version]
    excluded = _excluded_by_rollouts(view, allowed, random)
    return [row for row in allowed if (row.model, row.version) not in excluded]


def _excluded_by_rollouts(
    view: ClusterView, allowed: list[VersionRow], random: Random
) -> set[tuple[str, str]]:
    present = {(row.model, row.version) for row in allowed}
    excluded = set()
    for rollout in view.rollouts.values():
        old = (rollout.model, rollout.from_version)
        new = (rollout.model, rollout.to_version)
        if rollout.state is RolloutState.COMPLETED:
            excluded.add(old)
        elif rollout.state in _SHARING and old in present and new in present:
            excluded.add(old if random.random() < rollout.share else new)
        else:
            excluded.add(new)
    return excluded
