"""Choice of the backend server with the least expected completion time."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum
from math import ceil
from random import Random

import xxhash

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.free_slots import has_free_slots
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.server_state import ServerState, ServerStates
from baobabstream.policy.switches import PolicySwitches
from baobabstream.policy.work_size import WorkSizes

__all__ = ["BackendChoice", "Choice", "Room"]

SAMPLE = 3
# Part of the prompt that the home server of a conversation is expected to have cached; other
# entries send the conversation there as well.
HOME_CACHED = 0.75
# One way between availability zones takes about 1.5 ms; a request crosses twice.
OTHER_ZONE_S = 0.003
# Engines read prompts one after another. A server gets no more prompts while those under way at
# all entries are expected to take longer than this part of a second.
PREFILL_WAIT_S = 0.25
# A server this many times slower than its peers gets no work beyond its window.
SLOW_GAP = 1.3
RECENT_FAILURE_S = 2.0
RECENT_FAILURE_COST_S = 1.0


class Room(Enum):
    """Servers that count as having room for one more attempt."""

    ANY = "any"
    WINDOW = "window"
    FREE_SLOT = "free slot"
    FREE_SLOT_IF_IDLE = "free slot of a pool that no other entry uses"


@dataclass(frozen=True, slots=True)
class Choice:
    """A backend server with the time expected there, in seconds."""

    identity: str
    first_token_s: float
    total_s: float
    cached_share: float
    compared: int


class BackendChoice:
    """Samples a few servers and takes the one with the least expected completion time.

    Parameters
    ----------
    index, states
        Known servers and their measurements.
    sizes
        Estimates of prefill time and of the share of long work.
    availability_zone
        Zone of this entry; other zones cost a little.
    random
        Source for the samples. Entries sample apart, so that they do not all choose the one
        server that looked idle in the last report.

    Notes
    -----
    Long work goes to the first servers of an order that all entries derive from the identities,
    so long work of all entries meets on few servers without any message between entries.

    References
    ----------
    M. Mitzenmacher, "How Useful Is Old Information?", 2000.
    """

    def __init__(
        self,
        index: ServerIndex,
        states: ServerStates,
        sizes: WorkSizes,
        availability_zone: str,
        random: Random,
        switches: PolicySwitches,
    ) -> None:
        self._index = index
        self._states = states
        self._sizes = sizes
        self._zone = availability_zone
        self._random = random
        self._switches = switches
        self._orders: dict[tuple[str, str], tuple[tuple[str, ...], list[str]]] = {}

    def choose(
        self,
        request: RequestInfo,
        key: tuple[str, str],
        now_s: float,
        exclude: Collection[str] = (),
        room: Room = Room.WINDOW,
    ) -> Choice | None:
        """Return the best sampled server with room, or None.

        Parameters
        ----------
        exclude
            Servers that must not be used, such as those already tried.
        room
            Servers that have room for the request.
        """
        sample = self._sample_pools(request, key, now_s, exclude, room)
        home = self._home(key, request) if self._switches.prefix_credit else None
        choices = [self._estimate(item, request, now_s, item == home) for item in sample]
        return min(choices, key=self._cost, default=None)

    def has_room(
        self, key: tuple[str, str], request: RequestInfo, now_s: float, room: Room
    ) -> bool:
        """Return whether a sampled server of a version would take a request now."""
        return bool(self._sample_pools(request, key, now_s, (), room))

    def window(self, key: tuple[str, str]) -> float:
        """Return the attempts that this entry may have in flight on a version's servers."""
        engines = self._index.engines(key)
        return sum(self._states[identity].window for identity in engines)

    def _cost(self, choice: Choice) -> float:
        state = self._states[choice.identity]
        record = self._index.records[choice.identity]
        cost = choice.total_s
        if record.availability_zone != self._zone:
            cost += OTHER_ZONE_S
        return cost + 0.01 * state.in_flight / state.slots

    def _pool(self, request: RequestInfo, key: tuple[str, str]) -> list[str]:
        engines = self._index.engines(key)
        if not self._switches.long_separation or len(engines) < 3:
            return engines
        share = self._sizes.long_share()
        if share <= 0.0:
            return engines
        order = self._order(key, engines)
        for_long = min(len(order) // 2, max(1, ceil(share * len(order))))
        return order[:for_long] if self._sizes.is_long(request) else order[for_long:]

    def _order(self, key: tuple[str, str], engines: list[str]) -> list[str]:
        known = self._orders.get(key)
        if known is None or len(known[0]) != len(engines) or known[0] != tuple(engines):
            order = sorted(engines, key=lambda item: xxhash.xxh3_64_intdigest(item.encode()))
            known = (tuple(engines), order)
            self._orders[key] = known
        return known[1]

    def _sample_pools(
        self,
        request: RequestInfo,
        key: tuple[str, str],
        now_s: float,
        exclude: Collection[str],
        room: Room,
    ) -> list[str]:
        """Sample the servers for a request; when their windows are full, those with free slots."""
        engines = self._index.engines(key)
        pools = [self._pool(request, key)]
        respect_window = room is not Room.ANY
        spill = not self._switches.long_separation or not self._sizes.is_long(request)
        if spill and pools[0] is not engines:
            pools.append(engines)
        for pool in pools:
            found = self._sample(pool, key, request, exclude, respect_window)
            if found:
                return found
        if room in (Room.ANY, Room.WINDOW):
            return []
        found = self._free(pools[0], exclude, room is Room.FREE_SLOT, now_s)
        # Servers of long work take short work beyond the windows only when no other entry does.
        return found or self._free(pools[-1], exclude, False, now_s)

    def _free(
        self, pool: list[str], exclude: Collection[str], steady: bool, now_s: float
    ) -> list[str]:
        """Sample servers with free slots when the pool has some for this entry."""
        states = [self._states[item] for item in pool]
        if not has_free_slots(states, self._states.share, steady):
            return []
        free = [item for item in self._draw(pool) if self._is_free(item, now_s)]
        return [item for item in dict.fromkeys(free) if item not in exclude][:SAMPLE]

    def _is_free(self, identity: str, now_s: float) -> bool:
        state = self._states[identity]
        slow = self._states.expected_gap_s(state, now_s) > SLOW_GAP * self._states.mean_gap_s
        return not slow and state.has_free_slot(now_s) and state.pending_prefill_s <= PREFILL_WAIT_S

    def _sample(
        self,
        pool: list[str],
        key: tuple[str, str],
        request: RequestInfo,
        exclude: Collection[str],
        respect_window: bool,
    ) -> list[str]:
        found: list[str] = []
        holder = None
        if self._switches.prefix_credit and request.prefix_digests:
            holder = self._home(key, request)
            if (
                holder is not None
                and holder in pool
                and self._usable(holder, exclude, respect_window)
            ):
                found.append(holder)
        for identity in self._draw(pool):
            if len(found) >= SAMPLE:
                break
            if identity not in found and self._usable(identity, exclude, respect_window):
                found.append(identity)
        return found

    def _home(self, key: tuple[str, str], request: RequestInfo) -> str | None:
        """Return the server on which all entries look for a conversation's prefixes."""
        engines = self._index.engines(key)
        if not engines or not request.prefix_digests:
            return None
        digest = xxhash.xxh3_64_intdigest(request.prefix_digests[0].encode())
        return self._order(key, engines)[digest % len(engines)]

    def _draw(self, pool: list[str]) -> list[str]:
        """Return a few servers in random order; a small pool whole, a large one with repeats."""
        size = len(pool)
        if size <= 2 * SAMPLE:
            return self._random.sample(pool, size)
        return [pool[int(self._random.random() * size)] for _ in range(2 * SAMPLE)]

    def _usable(self, identity: str, exclude: Collection[str], respect_window: bool) -> bool:
        state = self._states.get(identity)
        if state is None or identity in exclude:
            return False
        if not respect_window:
            return True
        if not state.has_room():
            return False
        return state.pending_prefill_s <= PREFILL_WAIT_S * self._states.share

    def _estimate(self, identity: str, request: RequestInfo, now_s: float, is_home: bool) -> Choice:
        state = self._states[identity]
        gap_s = self._states.mean_gap_s
        first_s = self._states.mean_first_s
        if self._switches.straggler_rates:
            gap_s = self._states.expected_gap_s(state, now_s)
            first_s = self._states.expected_first_s(state, now_s)
        cached = 0.0
        if self._switches.prefix_credit:
            cached = state.cached_tokens_share(request.prefix_digests)
            cached = max(cached, HOME_CACHED) if is_home else cached
        prefill_s = (1 - cached) * self._sizes.prefill_s(request)
        prefill_s *= max(1.0, gap_s / self._states.mean_gap_s)
        wait_s = self._wait_s(state, gap_s)
        first_token_s = first_s + prefill_s + state.pending_prefill_s + wait_s
        if now_s - state.failed_at_s < RECENT_FAILURE_S:
            first_token_s += RECENT_FAILURE_COST_S
        total_s = first_token_s + request.expected_output_tokens * gap_s
        return Choice(identity, first_token_s, total_s, cached, SAMPLE)

    def _wait_s(self, state: ServerState, gap_s: float) -> float:
        """Return the expected wait for a batch slot, plus the load's effect on the gap."""
        load = state.in_flight
        beyond = max(0.0, load + 1 - state.slots)
        service_s = self._sizes.mean_output_tokens * gap_s
        return beyond * service_s / state.slots + 0.1 * load / state.slots * service_s
