"""Keeps the requests of a session on one version while a rollout is under way."""

from collections import OrderedDict

from xxhash import xxh64_intdigest

from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["SessionVersions"]

MAX_SESSIONS = 20_000
HASH_RANGE = 2**64


class SessionVersions:
    """Version that each recent session last ran on.

    Parameters
    ----------
    session_s
        Time after its last request for which a session keeps its version.
    """

    def __init__(self, session_s: float) -> None:
        self._session_s = session_s
        self._seen: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def preferred(self, row: RolloutRow | None, session: str, now_s: float) -> str:
        """Return the version that a request should run on, or an empty text for any.

        Parameters
        ----------
        row
            Rollout of the service, or None if its version is not known.
        session
            Session of the request, or another text that tells requests apart.
        now_s
            Time in seconds.

        Notes
        -----
        A session on the target version stays there. One on the base version moves only once the
        rollout has settled. New sessions go by a hash, the same on every host, that a rising
        share takes over bit by bit.
        """
        if row is None:
            return ""
        if row.state is not RolloutState.IN_PROGRESS:
            return row.base
        version, seen_s = self._seen.get((row.service, session), ("", -self._session_s))
        recent = now_s - seen_s < self._session_s
        if recent and (version == row.target or not row.settled):
            return version
        place = xxh64_intdigest(f"{row.service}/{row.target}/{session}".encode()) / HASH_RANGE
        return row.target if place < row.share else row.base

    def note(self, service: str, session: str, version: str, now_s: float) -> None:
        """Note the version that a request of a session runs on."""
        key = (service, session)
        self._seen[key] = (version, now_s)
        self._seen.move_to_end(key)
        if len(self._seen) > MAX_SESSIONS:
            self._seen.popitem(last=False)
