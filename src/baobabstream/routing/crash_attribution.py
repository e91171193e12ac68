"""Finds what requests that crash backend servers have in common.

A server that crashes takes all of its requests with it, and only one of them may have caused the
crash. Each request has several keys: a hash of its whole content, and one for each part of its
prompt that other prompts may have too. A key whose requests were running at one crash after
another, and that no request survives, names the cause. Requests with this key are quarantined: they
are refused instead of being sent to another server.

A request survives at a server if the server's process is alive some time after it has begun to
answer; a request that crashes servers does so when its answer begins. So the parts that sound
requests share with the cause, such as the beginning of all prompts of a route, are cleared by the
sound requests.

As long as several keys fit the crashes equally well, since they occurred in the same requests only,
a request is quarantined only if it has all of them. Each further crash narrows them down, as in a
search for the most specific hypothesis that covers all positive examples (T. Mitchell, "Machine
Learning", 1997, chapter 2).

Servers that end at the same moment, for instance when a rollout replaces them, were hardly ended by
their requests; their crashes count as one.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

__all__ = ["CrashAttribution"]

# Crashes that must have a key in common before its requests are quarantined. Two occur by chance: a
# request that shared a server with the cause is sent again and may share the next one too.
MIN_CRASHES = 3
# The same for a key that survived before the crashes, which is more likely a bystander: while many
# servers crash, no long answer survives for seconds.
MIN_CRASHES_AFTER_SURVIVAL = 5
# Time in seconds from the first report of a crash until it is considered, in which all gateways
# tell whether requests with its keys survive.
SETTLING_S = 0.3
# Crashes within this time in seconds count as one.
MIN_CRASH_INTERVAL_S = 0.1
# Shortest time in seconds between two searches for quarantines, which take some milliseconds.
MIN_SEARCH_INTERVAL_S = 0.04
# Crashes, and quarantines, are forgotten after this time in seconds. A quarantined request never
# shows that it has become sound, so a quarantine must end by itself.
MEMORY_S = 600.0
# Time in seconds after a crash for which its keys are asked about as suspects.
SUSPICION_S = 60.0
# Bounds on memory and time; the oldest entries are dropped.
MAX_CRASHES = 100
MAX_REQUESTS_PER_CRASH = 64
MAX_SURVIVALS = 10_000
MAX_QUARANTINES = 64
MAX_SUSPECTS = 256

RequestKeys = frozenset[str]


@dataclass(slots=True)
class _Crash:
    """Crash of one server process.

    Parameters
    ----------
    crashed_s
        Time in seconds at which a request first lost its connection.
    considered_from_s
        Time in seconds from which the crash counts.
    requests
        Keys of each request that ran there, whose answer had not begun or had just begun.
    """

    crashed_s: float
    considered_from_s: float
    requests: set[RequestKeys] = field(default_factory=set)


class CrashAttribution:
    """Crashes, survivals and quarantines, as far as one host knows them.

    Parameters
    ----------
    settling_s
        Time in seconds from the first report of a crash until it is considered.

    Attributes
    ----------
    revision
        Number that rises when the suspects or the quarantines have changed.
    """

    def __init__(self, settling_s: float = SETTLING_S) -> None:
        self.revision = 0
        self._settling_s = settling_s
        # By server process, the oldest first.
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        # Time in seconds at which a request with a key last survived, the oldest first.
        self._survived_s: OrderedDict[str, float] = OrderedDict()
        # Time in seconds since which requests with all of these keys are quarantined.
        self._quarantined_s: dict[RequestKeys, float] = {}
        # Whether the evidence has changed since the last search for quarantines, and when that was.
        self._needs_search = False
        self._searched_s = float("-inf")

    def record_crash(
        self,
        server_process: str,
        requests: Iterable[Iterable[str]],
        crashed_s: float,
        now_s: float,
    ) -> None:
        """Record the crash of a server process, or further requests that ran there.

        Parameters
        ----------
        server_process
            Identity of the process; another start of the server is another process.
        requests
            Keys of each request that ran there and had not survived.
        crashed_s, now_s
            Time of the crash, and the present time, in seconds.
        """
        crash = self._crashes.get(server_process)
        if crash is None:
            crash = self._crashes[server_process] = _Crash(crashed_s, now_s + self._settling_s)
            if len(self._crashes) > MAX_CRASHES:
                self._crashes.popitem(last=False)
        crash.crashed_s = min(crash.crashed_s, crashed_s)
        new_requests = {frozenset(keys) for keys in requests} - crash.requests
        if new_requests and len(crash.requests) < MAX_REQUESTS_PER_CRASH:
            crash.requests |= new_requests
            self._needs_search = True
            self.revision += 1

    def record_survival(self, key: str, survived_s: float) -> None:
        """Record that a request with a key survived at ``survived_s``, a time in seconds.

        It ends the quarantines that name the key: had it been the cause, the request would not have
        survived.
        """
        if survived_s <= self._survived_s.get(key, float("-inf")):
            return
        self._survived_s[key] = survived_s
        self._survived_s.move_to_end(key)
        if len(self._survived_s) > MAX_SURVIVALS:
            self._survived_s.popitem(last=False)
        refuted = [
            keys
            for keys, quarantined_s in self._quarantined_s.items()
            if key in keys and survived_s > quarantined_s
        ]
        for keys in refuted:
            del self._quarantined_s[keys]
        if refuted:
            self._needs_search = True
            self.revision += 1

    def merge_quarantines(self, quarantined_s: Mapping[RequestKeys, float], now_s: float) -> None:
        """Take over quarantines of other hosts that are not refuted by a survival.

        So they outlast a restart of any host. The mapping has the keys that requests must have, and
        the time in seconds since which they are quarantined; ``now_s`` is the present time.
        """
        for keys, since_s in quarantined_s.items():
            if not self._was_refuted(keys, since_s) and since_s + MEMORY_S > now_s:
                self._add_quarantine(keys, since_s, now_s)

    def update(self, now_s: float) -> None:
        """Search for quarantines if there is new evidence, unless the last search was just now.

        ``now_s`` is the present time in seconds.
        """
        if self._needs_search and now_s - self._searched_s >= MIN_SEARCH_INTERVAL_S:
            self._searched_s = now_s
            self._search(now_s)
            self._needs_search = any(
                crash.considered_from_s > now_s for crash in self._crashes.values()
            )

    def quarantines(self, now_s: float) -> dict[RequestKeys, float]:
        """Return the keys that quarantined requests have, and since when they are quarantined.

        A request is quarantined if it has all keys of one set. Times are in seconds.
        """
        return {
            keys: since_s
            for keys, since_s in self._quarantined_s.items()
            if since_s + MEMORY_S > now_s
        }

    def suspects(self, now_s: float) -> frozenset[str]:
        """Return the keys that the next crash may quarantine, and those that are quarantined.

        Whether and when they survived elsewhere decides about them. ``now_s`` is the present time
        in seconds.
        """
        crash_counts = Counter(
            chain.from_iterable(
                {key for keys in crash.requests for key in keys if self._is_suspect(key, crash)}
                for crash in self._crashes.values()
                if crash.crashed_s + SUSPICION_S > now_s
            )
        )
        suspects = (
            key for key, count in crash_counts.most_common(MAX_SUSPECTS) if count >= MIN_CRASHES - 1
        )
        return frozenset(chain(suspects, *self.quarantines(now_s)))

    def last_survival_s(self, key: str) -> float | None:
        """Return when a request with a key last survived, in seconds, or None."""
        return self._survived_s.get(key)

    def _is_suspect(self, key: str, crash: _Crash) -> bool:
        """Return whether no request with a key has survived since a crash."""
        return crash.crashed_s > self._survived_s.get(key, float("-inf"))

    def _was_refuted(self, keys: RequestKeys, since_s: float) -> bool:
        """Return whether a request with one of the keys has survived since a time in seconds."""
        return any(self._survived_s.get(key, float("-inf")) > since_s for key in keys)

    def _add_quarantine(self, keys: RequestKeys, since_s: float, now_s: float) -> None:
        """Quarantine requests with some keys, unless a part of these is quarantined already.

        Parameters
        ----------
        keys
            Keys, all of which a quarantined request has.
        since_s, now_s
            Time since which they are quarantined, and the present time, in seconds.
        """
        self._quarantined_s = self.quarantines(now_s)
        if any(known <= keys for known in self._quarantined_s):
            return
        for known in [known for known in self._quarantined_s if keys < known]:
            del self._quarantined_s[known]
        self._quarantined_s[keys] = since_s
        if len(self._quarantined_s) > MAX_QUARANTINES:
            del self._quarantined_s[min(self._quarantined_s, key=self._quarantined_s.__getitem__)]
        self.revision += 1

    def _search(self, now_s: float) -> None:
        """Quarantine the keys that best explain the crashes, until too few are left unexplained.

        ``now_s`` is the present time in seconds.
        """
        for process, crash in list(self._crashes.items()):
            if crash.crashed_s + MEMORY_S <= now_s:
                del self._crashes[process]
        unexplained = {
            process: crash
            for process, crash in self._crashes.items()
            if crash.considered_from_s <= now_s
        }
        while (cause := self._most_likely_cause(unexplained)) is not None:
            explained = [
                process
                for process, crash in unexplained.items()
                if self._is_suspect(cause, crash) and cause in chain.from_iterable(crash.requests)
            ]
            crashes = [unexplained.pop(process) for process in explained]
            self._add_quarantine(self._common_keys(cause, crashes), now_s, now_s)

    def _most_likely_cause(self, crashes: Mapping[str, _Crash]) -> str | None:
        """Return the key that explains most of some crashes, or None if none explains enough.

        A key that has never survived goes first. If two keys of different requests explain equally
        many crashes, and these are few, there is none: the next crash tells more. ``crashes`` are
        given by server process.
        """
        times_by_key: defaultdict[str, set[float]] = defaultdict(set)
        requests_by_key: defaultdict[str, set[RequestKeys]] = defaultdict(set)
        for crash in crashes.values():
            for keys in crash.requests:
                for key in keys:
                    if self._is_suspect(key, crash):
                        times_by_key[key].add(crash.crashed_s)
                        requests_by_key[key].add(keys)
        # By key that explains enough crashes: whether it has never survived, and their number.
        ranks = {
            key: (key not in self._survived_s, crash_count)
            for key, times_s in times_by_key.items()
            if (crash_count := _count_apart(times_s)) >= self._min_crashes(key)
        }
        if not ranks:
            return None
        best_rank = max(ranks.values())
        best_keys = [key for key, rank in ranks.items() if rank == best_rank]
        cause = max(best_keys, key=lambda key: (len(requests_by_key[key]), key))
        _, crash_count = best_rank
        is_ambiguous = any(
            requests_by_key[key].isdisjoint(requests_by_key[cause]) for key in best_keys
        )
        return None if is_ambiguous and crash_count < MIN_CRASHES_AFTER_SURVIVAL else cause

    def _min_crashes(self, key: str) -> int:
        """Return the number of crashes after which requests with a key are quarantined."""
        return MIN_CRASHES_AFTER_SURVIVAL if key in self._survived_s else MIN_CRASHES

    def _common_keys(self, cause: str, crashes: Iterable[_Crash]) -> RequestKeys:
        """Return a key and those that were in the same requests at all crashes with it.

        Keys of which any request is known to have survived are left out, as they are not the cause.
        """
        keys_by_crash = [
            frozenset(chain.from_iterable(keys for keys in crash.requests if cause in keys))
            for crash in crashes
        ]
        return frozenset(
            key
            for key in frozenset.intersection(*keys_by_crash)
            if key == cause or key not in self._survived_s
        )


def _count_apart(times_s: Iterable[float]) -> int:
    """Return how many of some times in seconds there are, if close ones count as one."""
    count, last_counted_s = 0, float("-inf")
    for time_s in sorted(times_s):
        if time_s - last_counted_s >= MIN_CRASH_INTERVAL_S:
            count, last_counted_s = count + 1, time_s
    return count
