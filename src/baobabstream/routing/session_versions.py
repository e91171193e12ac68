"""Keeps the requests of a session on one version while a rollout is under way."""

from collections import OrderedDict

from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.stable_hashing import hash_place, stable_hash
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["SessionVersions", "rollout_key"]

# Sessions of a service that are remembered; bounds the memory.
MAX_SESSIONS = 50_000


def rollout_key(row: RolloutRow) -> str:
    """Return what tells the rollouts of all services apart."""
    return f"{row.service}/{row.target}"


class SessionVersions:
    """Decides for each session of a service whether it runs on the target of a rollout.

    Parameters
    ----------
    session_s
        Time after its last request for which a session keeps its version.

    Notes
    -----
    A session's requests reach different hosts, so hosts must decide alike. A rollout begins with
    a share of 0; the sessions that are alive then are held on the base version, and the hosts
    exchange them. Later sessions go by a hash of the session, the same everywhere, and a rising
    share takes more of them over without giving any back.
    """

    def __init__(self, session_s: float) -> None:
        self.held = PinnedSessions()
        self._session_s = session_s
        self._seen: dict[str, OrderedDict[int, float]] = {}
        self._shares: dict[str, float] = {}

    def on_target(self, row: RolloutRow, session: str) -> bool:
        """Return whether a request of a session runs on the target of a rollout in progress."""
        hashed = stable_hash(session)
        if not row.settled and self.held.holds(rollout_key(row), hashed):
            return False
        place = hash_place(f"{rollout_key(row)}/{session}")
        return place < row.share

    def note(self, service: str, session: str, now_s: float) -> None:
        """Note a request of a session."""
        seen = self._seen.setdefault(service, OrderedDict())
        hashed = stable_hash(session)
        seen[hashed] = now_s
        seen.move_to_end(hashed)
        if len(seen) > MAX_SESSIONS:
            seen.popitem(last=False)

    def follow(self, row: RolloutRow, now_s: float) -> None:
        """Hold the sessions that are alive while a rollout has a share of 0, and as it rises."""
        name = rollout_key(row)
        if row.state is not RolloutState.IN_PROGRESS or row.settled:
            return
        if row.share == 0 or self._shares.get(name) == 0:
            self.held.add(name, self._alive(row.service, now_s))
        self._shares[name] = row.share

    def _alive(self, service: str, now_s: float) -> list[int]:
        seen = self._seen.get(service, OrderedDict())
        while seen and next(iter(seen.values())) < now_s - self._session_s:
            seen.popitem(last=False)
        return list(seen)
