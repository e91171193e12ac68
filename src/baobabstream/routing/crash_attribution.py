"""Finds what requests that crash backend servers have in common.

A server that crashes takes all of its requests with it, and only one of them may have caused the
crash. Each request has several keys: a hash of its whole content, and one for each part of its
prompt that other prompts may have too. A key whose requests were running at one crash after
another, and that hardly any request survives, names the cause. Requests with this key are
quarantined: they are refused instead of being sent to another server.

A part of a prompt crashes a server as the answer begins, so it survives if the server's process is
alive some time after that. A whole request may crash a server at any time of its run, so it
survives only if the process is alive some time after the complete answer. So the parts that sound
requests share with the cause, such as the beginning of all prompts of a route, are cleared by the
sound requests. A single survival clears nothing, since the answer may have been too short.

As long as several keys fit the crashes equally well, since they occurred in the same requests only,
a request is quarantined only if it has all of them. Each further crash narrows them down, as in a
search for the most specific hypothesis that covers all positive examples (T. Mitchell, "Machine
Learning", 1997, chapter 2).

While all servers crash nothing survives, so a part that all requests share is at each crash and is
not cleared. Then a single request that was at most of these crashes is the likelier cause; it may
be missing at some, as the reports of a gateway that restarts are lost. Parts that most requests
beside an established cause have explain nothing of the other crashes.

Servers that end at the same moment, for instance when a rollout replaces them, have parts of
prompts in common without being ended by these; for a part their crashes count as one. They count
one by one if they are many and other keys of the same requests survive, since a loss of power
spares none. For a whole request they always count one by one: it runs at several servers at the
same moment only if copies of it were sent to these. A key that most servers which ended at the same
moment did not have explains none of these ends.
"""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain
from math import exp

__all__ = ["PART_KEY_PREFIX", "REQUEST_KEY_PREFIX", "CrashAttribution", "RequestKeys"]

# Beginnings of the keys of a whole request, and of a part of its prompt.
REQUEST_KEY_PREFIX, PART_KEY_PREFIX = "request/", "part/"

# Crashes that must have a key in common before its requests are quarantined. Two occur by chance: a
# request that shared a server with the cause is sent again and may share the next one too.
MIN_CRASHES = 3
# Crashes after which one of two keys that explain them equally well is quarantined.
MAX_AMBIGUOUS_CRASHES = 5
# Recent survivals for each crash, above which a key is no cause.
MAX_SURVIVALS_PER_CRASH = 0.34
# Survivals since a quarantine that refute it: all of them ran before it, so they are few.
REFUTING_SURVIVALS = 2.0
# Time in seconds in which the weight of a survival falls to 1/e.
SURVIVAL_TIME_CONSTANT_S = 30.0
# Time in seconds from the first report of a crash until it is considered, in which all gateways
# tell whether requests with its keys survive.
SETTLING_S = 0.3
# Crashes within this time in seconds are at the same moment.
MIN_CRASH_INTERVAL_S = 0.1
# A request that is at more than this fraction of the crashes of one of its parts is their cause.
MIN_NARROWED_FRACTION = 0.6
# Number of requests beside an established cause from which on they show which parts are common, and
# fraction of them that has a common part.
MIN_BYSTANDERS, MIN_COMMON_FRACTION = 3, 0.5
# Weight of the survivals of a key from which on it shows that not all requests end with a server.
MIN_SPARED_WEIGHT = 1.0
# Shortest time in seconds between two searches for quarantines, which take some milliseconds.
MIN_SEARCH_INTERVAL_S = 0.04
# Crashes, and quarantines, are forgotten after this time in seconds. A quarantined request never
# shows that it has become sound, so a quarantine must end by itself.
MEMORY_S = 600.0
# Time in seconds after a crash for which its keys are asked about as suspects.
SUSPICION_S = 60.0
# Bounds on memory and time; the oldest entries are dropped.
MAX_CRASHES = 100
MAX_REQUESTS_PER_CRASH = 256
MAX_SURVIVING_KEYS = 10_000
MAX_QUARANTINES = 64
MAX_SUSPECTS = 256

# Keys by which a request is known, or that quarantined requests have in common.
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
        Keys of each request that ran there, or may have run there after it was given up; without
        those of the parts of its prompt if its answer had gone on for a while.
    keys
        Keys of all these requests.
    """

    crashed_s: float
    considered_from_s: float
    requests: set[RequestKeys] = field(default_factory=set)
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Survivals:
    """Number of survivals, each with a weight that decays with its age, as of a time in seconds."""

    weight: float
    counted_s: float

    def weight_at(self, now_s: float) -> float:
        """Return the weight at another time in seconds."""
        return self.weight * exp(min(0.0, self.counted_s - now_s) / SURVIVAL_TIME_CONSTANT_S)


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
        # By key, the one that survived longest ago first, and by source of the report.
        self._survivals: OrderedDict[str, dict[str, _Survivals]] = OrderedDict()
        # Time in seconds since which requests with all of these keys are quarantined.
        self._quarantined_s: dict[RequestKeys, float] = {}
        # Weight of the survivals of each quarantined key when the quarantine began, and times in
        # seconds at which quarantines were refuted.
        self._weights_at_start: dict[RequestKeys, dict[str, float]] = {}
        self._refuted_s: dict[RequestKeys, float] = {}
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
            crash.keys.update(*new_requests)
            self._needs_search = True
            self.revision += 1

    def record_survival(self, key: str, now_s: float) -> None:
        """Record that a request with a key has survived here at ``now_s``, a time in seconds."""
        self.set_survivals(key, "", self.survival_weight(key, now_s) + 1.0, now_s)

    def set_survivals(self, key: str, source: str, weight: float, counted_s: float) -> None:
        """Record how many requests with a key have survived lately at one source.

        Parameters
        ----------
        key
            Key of the requests.
        source
            Name of the host that has counted them; a later count replaces an earlier one.
        weight
            Their number, in which older ones weigh less; see `survival_weight`.
        counted_s
            Time of the count in seconds.
        """
        self._survivals.setdefault(key, {})[source] = _Survivals(weight, counted_s)
        self._survivals.move_to_end(key)
        if len(self._survivals) > MAX_SURVIVING_KEYS:
            self._survivals.popitem(last=False)

    def survival_weight(self, key: str, now_s: float) -> float:
        """Return how many requests with a key have survived lately.

        Each counts with a weight that falls to 1/e in ``SURVIVAL_TIME_CONSTANT_S``. ``now_s`` is
        the present time in seconds.
        """
        survivals = self._survivals.get(key, {}).values()
        return sum(survival.weight_at(now_s) for survival in survivals)

    def merge_quarantines(self, quarantined_s: Mapping[RequestKeys, float], now_s: float) -> None:
        """Take over quarantines of other hosts that have not been refuted here.

        So they outlast a restart of any host. The mapping has the keys that requests must have, and
        the time in seconds since which they are quarantined; ``now_s`` is the present time.
        """
        for keys, since_s in quarantined_s.items():
            is_refuted = since_s <= self._refuted_s.get(keys, float("-inf"))
            if not is_refuted and since_s + MEMORY_S > now_s:
                self._add_quarantine(keys, since_s, now_s)

    def update(self, now_s: float) -> None:
        """Search for quarantines if there is new evidence, unless the last search was just now.

        Quarantines that survivals refute end. ``now_s`` is the present time in seconds.
        """
        for keys in [keys for keys in self._quarantined_s if self._is_refuted(keys, now_s)]:
            self._remove_quarantine(keys)
            self._refuted_s[keys] = now_s
            self._needs_search = True
            self.revision += 1
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
                crash.keys
                for crash in self._crashes.values()
                if crash.crashed_s + SUSPICION_S > now_s
            )
        )
        suspects = (
            key for key, count in crash_counts.most_common(MAX_SUSPECTS) if count >= MIN_CRASHES - 1
        )
        return frozenset(chain(suspects, *self.quarantines(now_s)))

    def _is_refuted(self, keys: RequestKeys, now_s: float) -> bool:
        """Return whether requests with a quarantined key have survived since the quarantine."""
        weights_at_start = self._weights_at_start[keys]
        return any(
            self.survival_weight(key, now_s) >= weights_at_start[key] + REFUTING_SURVIVALS
            for key in keys
        )

    def _remove_quarantine(self, keys: RequestKeys) -> None:
        """End the quarantine of requests with some keys."""
        del self._quarantined_s[keys], self._weights_at_start[keys]

    def _add_quarantine(self, keys: RequestKeys, since_s: float, now_s: float) -> None:
        """Quarantine requests with some keys, unless a part of these is quarantined already.

        Parameters
        ----------
        keys
            Keys, all of which a quarantined request has.
        since_s, now_s
            Time since which they are quarantined, and the present time, in seconds.
        """
        self._forget_old(now_s)
        if any(known <= keys for known in self._quarantined_s):
            return
        for known in [known for known in self._quarantined_s if keys < known]:
            self._remove_quarantine(known)
        if len(self._quarantined_s) >= MAX_QUARANTINES:
            self._remove_quarantine(min(self._quarantined_s, key=self._quarantined_s.__getitem__))
        self._quarantined_s[keys] = since_s
        self._weights_at_start[keys] = {key: self.survival_weight(key, now_s) for key in keys}
        self.revision += 1

    def _forget_old(self, now_s: float) -> None:
        """Drop crashes and quarantines whose time is over."""
        for process in [
            process
            for process, crash in self._crashes.items()
            if crash.crashed_s + MEMORY_S <= now_s
        ]:
            del self._crashes[process]
        for keys in self._quarantined_s.keys() - self.quarantines(now_s).keys():
            self._remove_quarantine(keys)
        self._refuted_s = {
            keys: refuted_s
            for keys, refuted_s in self._refuted_s.items()
            if refuted_s + MEMORY_S > now_s
        }

    def _search(self, now_s: float) -> None:
        """Quarantine the keys that best explain the crashes, until too few are left unexplained.

        ``now_s`` is the present time in seconds.
        """
        self._forget_old(now_s)
        unexplained = {
            process: crash
            for process, crash in self._crashes.items()
            if crash.considered_from_s <= now_s
        }
        telling_keys = _telling_keys(unexplained)
        bystanders: list[RequestKeys] = []
        for request_key in self._settled_request_keys(unexplained.values()):
            _move_explained(request_key, unexplained, bystanders)
        while True:
            excluded_keys = _common_among(bystanders)
            cause = self._most_likely_cause(
                unexplained,
                {process: telling_keys[process] - excluded_keys for process in unexplained},
                now_s,
            )
            if cause is None:
                return
            crashes = _move_explained(cause, unexplained, bystanders)
            self._add_quarantine(self._common_keys(cause, crashes, now_s), now_s, now_s)

    def _settled_request_keys(self, crashes: Collection[_Crash]) -> list[str]:
        """Return the keys of whole requests whose quarantines need no second search.

        These explain all crashes with that key. One that doesn't, as a copy of the request had
        other parts, is too narrow.
        """
        return [
            request_key
            for quarantined_keys in self._quarantined_s
            for request_key in quarantined_keys
            if request_key.startswith(REQUEST_KEY_PREFIX)
            and all(quarantined_keys <= keys for keys in _requests_with(request_key, crashes))
        ]

    def _most_likely_cause(
        self,
        crashes: Mapping[str, _Crash],
        telling_keys: Mapping[str, Collection[str]],
        now_s: float,
    ) -> str | None:
        """Return the key that explains most of some crashes, or None if none explains enough.

        If two keys of different requests explain equally many crashes, or a single request nearly
        as many as a part of its prompt, and these are few, there is none: the next crash tells
        more.

        Parameters
        ----------
        crashes
            Crashes by server process.
        telling_keys
            Keys that may explain each of these crashes, by server process.
        now_s
            Present time in seconds.
        """
        crashes_by_key: defaultdict[str, list[_Crash]] = defaultdict(list)
        for process, crash in crashes.items():
            for key in telling_keys[process]:
                crashes_by_key[key].append(crash)
        crash_counts = {
            key: crash_count
            for key, crashes_with_key in crashes_by_key.items()
            if len(crashes_with_key) >= MIN_CRASHES
            and (crash_count := self._independent_crash_count(key, crashes_with_key, now_s))
            >= MIN_CRASHES
            and self.survival_weight(key, now_s) <= crash_count * MAX_SURVIVALS_PER_CRASH
        }
        if not crash_counts:
            return None
        most_crashes = max(crash_counts.values())
        best_keys = [key for key, count in crash_counts.items() if count == most_crashes]
        requests_by_key = {key: _requests_with(key, crashes_by_key[key]) for key in best_keys}
        cause = max(best_keys, key=lambda key: (len(requests_by_key[key]), key))
        is_ambiguous = any(
            requests_by_key[key].isdisjoint(requests_by_key[cause]) for key in best_keys
        )
        narrower_keys = [
            key
            for key, crashes_with_key in crashes_by_key.items()
            if key.startswith(REQUEST_KEY_PREFIX)
            and len(crashes_with_key) > MIN_NARROWED_FRACTION * len(crashes_by_key[cause])
            and any(cause in keys for keys in _requests_with(key, crashes_with_key))
        ]
        narrowest_key = max(
            narrower_keys, key=lambda key: (len(crashes_by_key[key]), key), default=cause
        )
        is_ambiguous |= narrowest_key not in crash_counts
        if is_ambiguous and most_crashes < MAX_AMBIGUOUS_CRASHES:
            return None
        return narrowest_key if narrowest_key in crash_counts else cause

    def _independent_crash_count(self, key: str, crashes: Collection[_Crash], now_s: float) -> int:
        """Return how many crashes speak against a key, all of which have it.

        ``now_s`` is the present time in seconds.
        """
        if key.startswith(REQUEST_KEY_PREFIX):
            return len(crashes)
        count_apart = _count_apart(crash.crashed_s for crash in crashes)
        if count_apart >= MIN_CRASHES or len(crashes) < MAX_AMBIGUOUS_CRASHES:
            return count_apart
        other_keys = frozenset(chain.from_iterable(crash.keys for crash in crashes)) - {key}
        spares_others = any(
            self.survival_weight(other_key, now_s) >= MIN_SPARED_WEIGHT for other_key in other_keys
        )
        return len(crashes) if spares_others else count_apart

    def _common_keys(self, cause: str, crashes: Iterable[_Crash], now_s: float) -> RequestKeys:
        """Return a key and those that were in the same requests at all crashes with it.

        Keys of which requests have survived lately are left out, as they are not the cause.
        ``now_s`` is the present time in seconds.
        """
        keys_by_crash = [
            frozenset(chain.from_iterable(keys for keys in crash.requests if cause in keys))
            for crash in crashes
        ]
        return frozenset(
            key
            for key in frozenset.intersection(*keys_by_crash)
            if key == cause
            or self.survival_weight(key, now_s) <= len(keys_by_crash) * MAX_SURVIVALS_PER_CRASH
        )


def _requests_with(key: str, crashes: Iterable[_Crash]) -> set[RequestKeys]:
    """Return the requests with a key at some crashes, each by its keys."""
    return {keys for crash in crashes for keys in crash.requests if key in keys}


def _move_explained(
    cause: str, unexplained: dict[str, _Crash], bystanders: list[RequestKeys]
) -> list[_Crash]:
    """Take the crashes that a key explains from others, and return them.

    Parameters
    ----------
    cause
        The key.
    unexplained
        Crashes by server process, from which those with the key are removed.
    bystanders
        List to which the requests without the key at these crashes are added.
    """
    explained = [process for process, crash in unexplained.items() if cause in crash.keys]
    crashes = [unexplained.pop(process) for process in explained]
    bystanders.extend(keys for crash in crashes for keys in crash.requests if cause not in keys)
    return crashes


def _telling_keys(crashes: Mapping[str, _Crash]) -> dict[str, set[str]]:
    """Return the keys that may explain each of some crashes, by server process.

    A key explains nothing if most servers that crashed at the same moment did not have it.
    """
    by_time = sorted(crashes.items(), key=lambda item: item[1].crashed_s)
    moments: list[list[tuple[str, _Crash]]] = []
    for process, crash in by_time:
        if not moments or crash.crashed_s - moments[-1][-1][1].crashed_s >= MIN_CRASH_INTERVAL_S:
            moments.append([])
        moments[-1].append((process, crash))
    telling_keys = {}
    for moment in moments:
        counts = Counter(chain.from_iterable(crash.keys for _, crash in moment))
        for process, crash in moment:
            telling_keys[process] = {key for key in crash.keys if 2 * counts[key] >= len(moment)}
    return telling_keys


def _common_among(bystanders: Collection[RequestKeys]) -> set[str]:
    """Return the keys that most of some requests have, or none if these are few.

    Requests of which only the content is known are left out.
    """
    counted = [keys for keys in bystanders if len(keys) > 1]
    if len(counted) < MIN_BYSTANDERS:
        return set()
    counts = Counter(chain.from_iterable(counted))
    return {key for key, count in counts.items() if count >= MIN_COMMON_FRACTION * len(counted)}


def _count_apart(times_s: Iterable[float]) -> int:
    """Return how many of some times in seconds there are, if close ones count as one."""
    count, last_counted_s = 0, float("-inf")
    for time_s in sorted(times_s):
        if time_s - last_counted_s >= MIN_CRASH_INTERVAL_S:
            count, last_counted_s = count + 1, time_s
    return count
