"""What an entry knows of each backend server: its own measurements and the last load report."""

from dataclasses import dataclass, field
from math import exp
from random import Random

from cachetools import LRUCache

from baobabstream.wire.rows import BackendRecord

__all__ = ["ServerState", "ServerStates"]

# An own measurement loses its weight against that of the peers with this time constant, so that a
# server that was slow gets probes again within a few seconds.
MEASURE_AGE_S = 6.0
GAIN = 0.3
DEFAULT_GAP_S = 0.02
DEFAULT_FIRST_S = 0.1
MAX_PREFIXES = 512
MIN_WINDOW = 0.25
WINDOW_CUT = 0.8
CUT_INTERVAL_S = 0.5
# An entry may use its share of a server's slots times this factor, so that slots do not stay empty
# while entries are unevenly loaded.
WINDOW_FACTOR = 1.1
# Share of all requests in flight that this entry assumes before reports have come.
FIRST_SHARE = 0.25
# Part of a new count of own attempts in their mean over reports. A count that grows must not enter
# the mean before the reports show the growth of the other entries.
USUAL_GAIN = 0.15
# A server with a late first token gets no work beyond its window for this time.
LATE_S = 3.0
SHARE_KEEP = 0.995


@dataclass(slots=True)
class ServerState:
    """One backend server as seen by this entry.

    Attributes
    ----------
    in_flight, long_in_flight
        This entry's attempts on the server.
    gap_s
        Recent time between tokens of one stream.
    first_s
        Recent time to the first token beyond the estimated prefill.
    window
        Attempts that this entry may have on the server at once.
    pending_prefill_s
        Prefill time of this entry's attempts that have no first token yet.
    dither
        Fraction, drawn anew with each report, that is added to the window before it is rounded
        down. Over all entries the whole attempts then add up to the windows' sum.
    reported
        Requests of all entries on the server in its last load report.
    usual
        Recent mean of this entry's attempts at the arrivals of reports.
    """

    slots: int
    in_flight: int = 0
    long_in_flight: int = 0
    tokens_in_flight: int = 0
    gap_s: float = DEFAULT_GAP_S
    gap_at_s: float = -1e9
    first_s: float = DEFAULT_FIRST_S
    first_at_s: float = -1e9
    window: float = 1.0
    cut_at_s: float = -1e9
    failed_at_s: float = -1e9
    pending_prefill_s: float = 0.0
    dither: float = 0.5
    reported: int = 0
    usual: float = 0.0
    prefixes: LRUCache[str, None] = field(default_factory=lambda: LRUCache(MAX_PREFIXES))

    def measure_gap(self, gap_s: float, now_s: float) -> None:
        """Take a measured time between tokens."""
        self.gap_s += GAIN * (gap_s - self.gap_s) if self.gap_at_s > 0 else gap_s - self.gap_s
        self.gap_at_s = now_s

    def measure_first(self, first_s: float, now_s: float) -> None:
        """Take a measured time to first token beyond the prefill."""
        self.first_s += (
            GAIN * (first_s - self.first_s) if self.first_at_s > 0 else first_s - self.first_s
        )
        self.first_at_s = now_s

    def adapt_window(self, slow: bool, limit: float, now_s: float) -> None:
        """Grow the window while first tokens come in time, cut it when they are late.

        Parameters
        ----------
        limit
            Largest window, from this entry's share of the server's slots.

        References
        ----------
        D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
        Avoidance in Computer Networks", 1989.
        """
        if slow:
            if now_s - self.cut_at_s >= CUT_INTERVAL_S:
                self.window = max(MIN_WINDOW, self.window * WINDOW_CUT)
                self.cut_at_s = now_s
        elif self.in_flight + 1 >= self.window:
            self.window = min(limit, self.window + 0.5 / self.window)

    def has_room(self) -> bool:
        """Return whether this entry's window has room for one more attempt."""
        return self.in_flight + 1 <= self.window + self.dither

    def take_report(self, in_flight: int) -> None:
        """Take the load of all entries, as the server reported it some time ago."""
        self.reported = in_flight
        self.usual += USUAL_GAIN * (self.in_flight - self.usual)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether the report and the own attempts since leave a batch slot free."""
        if now_s - self.cut_at_s < LATE_S:
            return False
        load = max(self.in_flight, self.reported + self.in_flight - self.usual)
        return load + 1 <= self.slots

    def cached_tokens_share(self, digests: tuple[str, ...]) -> float:
        """Return the share of the prompt whose prefix this entry has sent to the server."""
        for index in range(len(digests) - 1, -1, -1):
            if digests[index] in self.prefixes:
                return (index + 1) / len(digests)
        return 0.0

    def remember_prefixes(self, digests: tuple[str, ...]) -> None:
        """Note that the server now caches a prompt's prefixes."""
        for digest in digests:
            self.prefixes[digest] = None


class ServerStates:
    """States of all backend servers, with the means that a server is compared with."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._states: dict[str, ServerState] = {}
        self.mean_gap_s = DEFAULT_GAP_S
        self.mean_first_s = DEFAULT_FIRST_S
        self._own_in_flight = FIRST_SHARE
        self._all_in_flight = 1.0

    def window_limit(self, slots: int) -> float:
        """Return the most attempts of this entry on a server of that many slots.

        Notes
        -----
        The entry's share is its part of all requests in flight, which it learns from the load
        reports without knowing the other entries.
        """
        return max(MIN_WINDOW, WINDOW_FACTOR * slots * self.share)

    @property
    def share(self) -> float:
        """Return this entry's part of all requests in flight."""
        return min(1.0, self._own_in_flight / self._all_in_flight)

    def _learn_share(self, own: int, reported: int) -> None:
        if reported > 0:
            self._own_in_flight = self._own_in_flight * SHARE_KEEP + min(own, reported)
            self._all_in_flight = self._all_in_flight * SHARE_KEEP + reported

    def __getitem__(self, identity: str) -> ServerState:
        return self._states[identity]

    def get(self, identity: str) -> ServerState | None:
        """Return a server's state, or None when it is gone."""
        return self._states.get(identity)

    def take_records(self, records: list[BackendRecord], gone: set[str]) -> None:
        """Take changed announcements."""
        for identity in gone:
            self._states.pop(identity, None)
        for record in records:
            state = self._states.get(record.identity)
            if state is None:
                state = ServerState(record.slots, window=self.window_limit(record.slots))
                self._states[record.identity] = state
            self._learn_share(state.in_flight, record.in_flight)
            state.take_report(record.in_flight)
            state.window = min(state.window, self.window_limit(record.slots))
            state.dither = self._random.random()

    def measure_gap(self, identity: str, gap_s: float, now_s: float) -> None:
        """Take a measured time between tokens of one server."""
        state = self._states.get(identity)
        if state is not None:
            state.measure_gap(gap_s, now_s)
            # The mean follows the faster peers: a minority of stragglers hardly moves it.
            gain = 0.05 if gap_s < 2 * self.mean_gap_s else 0.005
            self.mean_gap_s += gain * (gap_s - self.mean_gap_s)

    def measure_first(self, identity: str, first_s: float, now_s: float) -> None:
        """Take a measured time to first token of one server."""
        state = self._states.get(identity)
        if state is not None:
            state.measure_first(first_s, now_s)
            gain = 0.05 if first_s < 3 * self.mean_first_s else 0.005
            self.mean_first_s += gain * (first_s - self.mean_first_s)

    def expected_gap_s(self, state: ServerState, now_s: float) -> float:
        """Return the expected time between tokens; an old measurement yields to the mean."""
        weight = exp(-max(0.0, now_s - state.gap_at_s) / MEASURE_AGE_S)
        return self.mean_gap_s + weight * (state.gap_s - self.mean_gap_s)

    def expected_first_s(self, state: ServerState, now_s: float) -> float:
        """Return the expected time to first token beyond the prefill."""
        weight = exp(-max(0.0, now_s - state.first_at_s) / MEASURE_AGE_S)
        return self.mean_first_s + weight * (state.first_s - self.mean_first_s)

    def remember_prefixes(self, identity: str, digests: tuple[str, ...]) -> None:
        """Note that a server caches a prompt's prefixes."""
        state = self._states.get(identity)
        if state is not None and digests:
            state.remember_prefixes(digests)
