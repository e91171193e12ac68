"""Keeps the requests of a session on one version while a rollout is under way.

A session is a series of requests that a caller marks as belonging together. A rollout moves a
service from a base version to a target version. Its ``RolloutRow`` names both and the share (0 to
1) of new sessions that run on the target. Sessions that were active when the rollout began are
pinned: they stay on the base version. A rollout is settled once pinned sessions may move to the
target too.
"""

from collections import OrderedDict

from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.stable_hashing import hash_fraction, stable_hash
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["SessionVersions", "rollout_key"]

# Most recent sessions that are remembered for each service, to bound the memory.
MAX_RECENT_SESSIONS = 50_000


def rollout_key(row: RolloutRow) -> str:
    """Return a key that identifies a rollout among those of all services: service and target."""
    return f"{row.service}/{row.target}"


class SessionVersions:
    """Decides for each session of a service whether it runs on the target of a rollout.

    Parameters
    ----------
    session_timeout_s
        Seconds after its last request for which a session counts as active and keeps its version.

    Attributes
    ----------
    pinned_sessions
        Sessions that stay on the base version of a rollout.

    Notes
    -----
    A session's requests reach different hosts, so hosts must decide alike. A rollout begins with
    a share of 0; the sessions that are active then are pinned to the base version, and the hosts
    exchange them. Later sessions are assigned by a hash of the session, which is the same
    everywhere, so a rising share moves more sessions to the target and never moves one back.
    """

    def __init__(self, session_timeout_s: float) -> None:
        self.pinned_sessions = PinnedSessions()
        self._session_timeout_s = session_timeout_s
        # By service: time in seconds of the last request of each session, by the hash of the
        # session, the oldest first.
        self._last_request_s: dict[str, OrderedDict[int, float]] = {}
        # By rollout key: the share (0 to 1) at the last update.
        self._last_shares: dict[str, float] = {}

    def uses_target(self, row: RolloutRow, session: str) -> bool:
        """Return whether a request of a session runs on the target of a rollout in progress.

        A session that is not pinned is assigned by a number from 0 to 1 that is hashed from the
        rollout and the session: it runs on the target if the number is below the rollout's share.
        """
        session_hash = stable_hash(session)
        if not row.settled and self.pinned_sessions.is_pinned(rollout_key(row), session_hash):
            return False
        session_fraction = hash_fraction(f"{rollout_key(row)}/{session}")
        return session_fraction < row.share

    def record_request(self, service: str, session: str, now_s: float) -> None:
        """Remember the time of a session's request, and evict the oldest session if needed.

        ``now_s`` is the time of the request in seconds.
        """
        last_request_s = self._last_request_s.setdefault(service, OrderedDict())
        session_hash = stable_hash(session)
        last_request_s[session_hash] = now_s
        last_request_s.move_to_end(session_hash)
        if len(last_request_s) > MAX_RECENT_SESSIONS:
            last_request_s.popitem(last=False)

    def update_rollout(self, row: RolloutRow, now_s: float) -> None:
        """Pin the active sessions while the share is 0, and once more when it first rises.

        The last time adds the sessions that became active since the previous update, all of which
        still ran on the base version. ``now_s`` is the present time in seconds.
        """
        key = rollout_key(row)
        if row.state is not RolloutState.IN_PROGRESS or row.settled:
            return
        if row.share == 0 or self._last_shares.get(key) == 0:
            self.pinned_sessions.add(key, self._active_sessions(row.service, now_s))
        self._last_shares[key] = row.share

    def _active_sessions(self, service: str, now_s: float) -> list[int]:
        """Forget the expired sessions of a service and return the hashes of the others."""
        last_request_s = self._last_request_s.get(service, OrderedDict())
        while (
            last_request_s and next(iter(last_request_s.values())) < now_s - self._session_timeout_s
        ):
            last_request_s.popitem(last=False)
        return list(last_request_s)
