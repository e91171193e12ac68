"""What an entry knows of each backend server: its own measurements and the last load report.

An entry is a host process that sends requests to backend servers; an attempt is one such dispatch.
A token gap is the time between two tokens of a stream. The first-token overhead is the time to the
first token beyond the estimated prefill, the time in which the server reads the prompt. An entry
limits its attempts in flight per server by a window, like the congestion window of a network
protocol. Its share is its fraction of all requests in flight at all entries, from 0 to 1. A batch
slot runs one request on a server. Long work is a request that is expected to occupy a server
several times longer than most. Times are on the policy's clock, in seconds; -1e9 stands for long
ago.
"""

from dataclasses import dataclass, field
from math import exp
from random import Random

from cachetools import LRUCache

from baobabstream.wire.rows import BackendRecord

__all__ = ["ServerState", "ServerStates"]

# Time constant with which the weight of a server's own measurement decays against the mean of all
# servers, so that a server that was slow is tried again within a few seconds.
MEASUREMENT_DECAY_S = 6.0
# Weight of a new measurement in the moving average of one server.
MEASUREMENT_GAIN = 0.3
# Values before the first measurement.
DEFAULT_TOKEN_GAP_S = 0.02
DEFAULT_FIRST_TOKEN_OVERHEAD_S = 0.1
# Prompt prefixes that are remembered as cached per server.
MAX_PREFIXES = 512
# Smallest window, in attempts; below 1, the dither admits an attempt part of the time.
MIN_WINDOW = 0.25
# Factor by which late first tokens reduce the window, and the shortest time between reductions.
WINDOW_DECREASE_FACTOR = 0.8
MIN_WINDOW_DECREASE_INTERVAL_S = 0.5
# An entry may use its share of a server's slots times this factor, so that slots do not stay empty
# while entries are unevenly loaded.
WINDOW_OVERCOMMIT_FACTOR = 1.1
# Share of all requests in flight that this entry assumes before reports have come.
INITIAL_SHARE = 0.25
# Weight of a new count of own attempts in their mean over reports. A count that grows must not
# enter the mean before the reports show the growth of the other entries.
REPORT_MEAN_GAIN = 0.15
# Time after a window reduction in which a server gets no attempts of this entry beyond its window.
NO_EXTRA_ATTEMPTS_S = 3.0
# Factor by which the earlier counts behind the entry's share decay with each report.
SHARE_DECAY_FACTOR = 0.995


@dataclass(slots=True)
class ServerState:
    """One backend server as seen by this entry.

    Attributes
    ----------
    slots
        Batch slots: requests that the server runs in one batch.
    in_flight, long_in_flight
        This entry's attempts on the server, and those of them that are long work.
    tokens_in_flight
        Not used.
    token_gap_s
        Moving average of the time between tokens of one stream.
    first_token_overhead_s
        Moving average of the time to the first token beyond the estimated prefill.
    token_gap_at_s, first_token_overhead_at_s
        Times of the last measurements.
    window
        Attempts that this entry may have on the server at once.
    window_reduced_at_s
        Time of the last reduction of the window.
    failed_at_s
        Time of the last failed attempt, not counting errors that the engine itself reported.
    pending_prefill_s
        Prefill time of this entry's attempts that have no first token yet.
    dither
        Fraction, drawn anew with each report, that is added to the window before it is rounded
        down. Over all entries the whole attempts then add up to the windows' sum.
    reported_in_flight
        Requests of all entries on the server in its last load report.
    mean_in_flight_at_reports
        Moving average of this entry's attempts at the arrivals of reports.
    prefixes
        Digests of the prompt prefixes that this entry expects in the server's cache.
    """

    slots: int
    in_flight: int = 0
    long_in_flight: int = 0
    tokens_in_flight: int = 0
    token_gap_s: float = DEFAULT_TOKEN_GAP_S
    token_gap_at_s: float = -1e9
    first_token_overhead_s: float = DEFAULT_FIRST_TOKEN_OVERHEAD_S
    first_token_overhead_at_s: float = -1e9
    window: float = 1.0
    window_reduced_at_s: float = -1e9
    failed_at_s: float = -1e9
    pending_prefill_s: float = 0.0
    dither: float = 0.5
    reported_in_flight: int = 0
    mean_in_flight_at_reports: float = 0.0
    prefixes: LRUCache[str, None] = field(default_factory=lambda: LRUCache(MAX_PREFIXES))

    def record_token_gap(self, token_gap_s: float, now_s: float) -> None:
        """Add a measured time between tokens to the moving average; the first one replaces it.

        A server that was not measured yet is recognised by its time of measurement, which is not
        positive.
        """
        self.token_gap_s += (
            MEASUREMENT_GAIN * (token_gap_s - self.token_gap_s)
            if self.token_gap_at_s > 0
            else token_gap_s - self.token_gap_s
        )
        self.token_gap_at_s = now_s

    def record_first_token_overhead(self, first_token_overhead_s: float, now_s: float) -> None:
        """Add a measured overhead to the moving average; the first one replaces it."""
        self.first_token_overhead_s += (
            MEASUREMENT_GAIN * (first_token_overhead_s - self.first_token_overhead_s)
            if self.first_token_overhead_at_s > 0
            else first_token_overhead_s - self.first_token_overhead_s
        )
        self.first_token_overhead_at_s = now_s

    def adapt_window(self, is_late: bool, max_window: float, now_s: float) -> None:
        """Increase the window while first tokens come in time, reduce it when they are late.

        The increase by ``0.5 / window`` per first token adds about half an attempt per full window
        of attempts. It is made only while the window is in use, since first tokens in time under
        lower load do not show that the server could take more.

        Parameters
        ----------
        is_late
            Whether the first token just received, or still awaited, is late.
        max_window
            Largest window, from this entry's share of the server's slots, in attempts.
        now_s
            Present time in seconds.

        References
        ----------
        D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
        Avoidance in Computer Networks", 1989.
        """
        if is_late:
            if now_s - self.window_reduced_at_s >= MIN_WINDOW_DECREASE_INTERVAL_S:
                self.window = max(MIN_WINDOW, self.window * WINDOW_DECREASE_FACTOR)
                self.window_reduced_at_s = now_s
        elif self.in_flight + 1 >= self.window:
            self.window = min(max_window, self.window + 0.5 / self.window)

    def has_window_capacity(self) -> bool:
        """Return whether this entry's window, rounded with the dither, allows one more attempt."""
        return self.in_flight + 1 <= self.window + self.dither

    def apply_load_report(self, in_flight: int) -> None:
        """Store the requests of all entries that the server had in flight some time ago."""
        self.reported_in_flight = in_flight
        self.mean_in_flight_at_reports += REPORT_MEAN_GAIN * (
            self.in_flight - self.mean_in_flight_at_reports
        )

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether the report and this entry's attempts since leave a batch slot free.

        Always false shortly after the window was reduced. The requests of the other entries are
        taken as those of the report less this entry's mean at the reports.
        """
        if now_s - self.window_reduced_at_s < NO_EXTRA_ATTEMPTS_S:
            return False
        expected_in_flight = max(
            self.in_flight,
            self.reported_in_flight + self.in_flight - self.mean_in_flight_at_reports,
        )
        return expected_in_flight + 1 <= self.slots

    def cached_prompt_share(self, prefix_digests: tuple[str, ...]) -> float:
        """Return the fraction of a prompt whose prefix this entry has sent to the server.

        Parameters
        ----------
        prefix_digests
            Digests of the prompt's successive prefixes, shortest first; each adds the same fraction
            of the prompt.
        """
        for index in range(len(prefix_digests) - 1, -1, -1):
            if prefix_digests[index] in self.prefixes:
                return (index + 1) / len(prefix_digests)
        return 0.0

    def remember_prefixes(self, prefix_digests: tuple[str, ...]) -> None:
        """Record that the server now caches a prompt's prefixes."""
        for digest in prefix_digests:
            self.prefixes[digest] = None


class ServerStates:
    """States of all backend servers by identity, and the means that a server is compared with.

    Attributes
    ----------
    mean_token_gap_s
        Moving average of the time between tokens over all servers.
    mean_first_token_overhead_s
        Moving average over all servers of the time to first token beyond the prefill.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._states: dict[str, ServerState] = {}
        self.mean_token_gap_s = DEFAULT_TOKEN_GAP_S
        self.mean_first_token_overhead_s = DEFAULT_FIRST_TOKEN_OVERHEAD_S
        # Decaying sums, over load reports, of this entry's and of all requests in flight.
        self._own_in_flight = INITIAL_SHARE
        self._all_in_flight = 1.0

    def window_limit(self, slots: int) -> float:
        """Return the largest window of this entry on a server with that many batch slots.

        Notes
        -----
        The entry's share is its fraction of all requests in flight, which it learns from the load
        reports without knowing the other entries.
        """
        return max(MIN_WINDOW, WINDOW_OVERCOMMIT_FACTOR * slots * self.share)

    @property
    def share(self) -> float:
        """Return this entry's fraction of all requests in flight."""
        return min(1.0, self._own_in_flight / self._all_in_flight)

    def _update_share(self, own_in_flight: int, reported_in_flight: int) -> None:
        """Add one load report to the sums behind the share; reports of no load are ignored.

        This entry's attempts are newer than the report, so at most the reported number of them is
        counted.

        Parameters
        ----------
        own_in_flight
            This entry's attempts on the server now.
        reported_in_flight
            Requests of all entries on the server in the report.
        """
        if reported_in_flight > 0:
            self._own_in_flight = self._own_in_flight * SHARE_DECAY_FACTOR + min(
                own_in_flight, reported_in_flight
            )
            self._all_in_flight = self._all_in_flight * SHARE_DECAY_FACTOR + reported_in_flight

    def __getitem__(self, identity: str) -> ServerState:
        return self._states[identity]

    def get(self, identity: str) -> ServerState | None:
        """Return a server's state, or None if the server is not known."""
        return self._states.get(identity)

    def apply_records(self, records: list[BackendRecord], removed: set[str]) -> None:
        """Apply changed announcements with their load reports, and remove servers.

        Parameters
        ----------
        records
            New or changed records.
        removed
            Identities of servers that are no longer announced.
        """
        for identity in removed:
            self._states.pop(identity, None)
        for record in records:
            state = self._states.get(record.identity)
            if state is None:
                state = ServerState(record.slots, window=self.window_limit(record.slots))
                self._states[record.identity] = state
            self._update_share(state.in_flight, record.in_flight)
            state.apply_load_report(record.in_flight)
            state.window = min(state.window, self.window_limit(record.slots))
            state.dither = self._random.random()

    def record_token_gap(self, identity: str, token_gap_s: float, now_s: float) -> None:
        """Add a measured time between tokens to a server's average and to the overall mean."""
        state = self._states.get(identity)
        if state is not None:
            state.record_token_gap(token_gap_s, now_s)
            # A gap of at least twice the mean has a tenth of the usual weight, so that a minority
            # of stragglers (slow servers) hardly moves the mean.
            gain = 0.05 if token_gap_s < 2 * self.mean_token_gap_s else 0.005
            self.mean_token_gap_s += gain * (token_gap_s - self.mean_token_gap_s)

    def record_first_token_overhead(
        self, identity: str, first_token_overhead_s: float, now_s: float
    ) -> None:
        """Add a measured overhead to a server's average and to the overall mean."""
        state = self._states.get(identity)
        if state is not None:
            state.record_first_token_overhead(first_token_overhead_s, now_s)
            # An overhead of at least three times the mean has a tenth of the usual weight, for the
            # same reason as in record_token_gap.
            gain = 0.05 if first_token_overhead_s < 3 * self.mean_first_token_overhead_s else 0.005
            self.mean_first_token_overhead_s += gain * (
                first_token_overhead_s - self.mean_first_token_overhead_s
            )

    def expected_token_gap_s(self, state: ServerState, now_s: float) -> float:
        """Return a server's expected time between tokens, near the mean if last measured long ago.

        The server's own average is weighted by ``exp(-age / MEASUREMENT_DECAY_S)``.
        """
        weight = exp(-max(0.0, now_s - state.token_gap_at_s) / MEASUREMENT_DECAY_S)
        return self.mean_token_gap_s + weight * (state.token_gap_s - self.mean_token_gap_s)

    def expected_first_token_overhead_s(self, state: ServerState, now_s: float) -> float:
        """Return a server's expected overhead, near the mean if last measured long ago."""
        weight = exp(-max(0.0, now_s - state.first_token_overhead_at_s) / MEASUREMENT_DECAY_S)
        return self.mean_first_token_overhead_s + weight * (
            state.first_token_overhead_s - self.mean_first_token_overhead_s
        )

    def remember_prefixes(self, identity: str, prefix_digests: tuple[str, ...]) -> None:
        """Record that a server caches a prompt's prefixes, if the server is still known."""
        state = self._states.get(identity)
        if state is not None and prefix_digests:
            state.remember_prefixes(prefix_digests)
