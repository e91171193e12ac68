"""Choice of the backend server with the least expected completion time.

An entry is a host process that accepts requests and sends attempts to engines, the backend servers
that run a model. Each entry limits its attempts in flight per engine by a window, like the
congestion window of a network protocol. Its share is its fraction of all requests in flight, as
learned from load reports. A version key is the pair of model name and version.

An attempt is one dispatch of a request to an engine. A batch slot runs one request on an engine.
Prefill is the time in which an engine reads the prompt; a server's pending prefill is that of the
attempts that have no first token yet. A token gap is the time between two tokens of a stream. Long
work is a request that is expected to occupy an engine several times longer than most. Engines cache
what they computed for prompts: a prompt that starts with a cached prefix (its first part, such as
the earlier messages of a conversation) is read faster. The home server of a conversation is the
engine to which all entries prefer to send it, so that its prefixes are cached there. Overhead is
the time to first token beyond the prefill and the waits. A straggler is a server that is slower
than the others.
"""

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

__all__ = ["BackendChooser", "CapacityRule", "ServerChoice"]

# Number of servers whose expected completion times are compared for one attempt.
SAMPLE_SIZE = 3
# Fraction of the prompt that the home server of a conversation is expected to have cached, since
# the other entries send the conversation there as well.
HOME_CACHED_SHARE = 0.75
# One way between availability zones takes about 1.5 ms; a request crosses twice.
OTHER_ZONE_ROUND_TRIP_S = 0.003
# Engines read prompts one after another. A server gets no more prompts while the unread ones of all
# entries are expected to take longer than this; an entry keeps to its share of it.
MAX_PENDING_PREFILL_S = 0.25
# A server whose time between tokens exceeds the mean by this factor gets no attempts beyond its
# window.
SLOW_TOKEN_GAP_RATIO = 1.3
# Time after a failed attempt during which a server's expected time to first token is raised, and
# the amount by which it is raised.
RECENT_FAILURE_S = 2.0
RECENT_FAILURE_PENALTY_S = 1.0


class CapacityRule(Enum):
    """Rules for which servers count as having capacity for one more attempt.

    Demand is steady when it is neither rising nor above capacity. ``ANY`` ignores load. ``WINDOW``
    requires capacity in this entry's window. ``FREE_SLOT``, for steady demand, and
    ``FREE_SLOT_IF_IDLE`` also accept servers with full windows but free batch slots, the latter
    only in a pool (set of servers) that no other entry uses.
    """

    ANY = "any"
    WINDOW = "window"
    FREE_SLOT = "free slot"
    FREE_SLOT_IF_IDLE = "free slot of a pool that no other entry uses"


@dataclass(frozen=True, slots=True)
class ServerChoice:
    """A chosen backend server with the times expected there.

    Attributes
    ----------
    identity
        Identity of the backend server.
    first_token_s
        Expected time to the first token, in seconds.
    total_s
        Expected time to the end of the answer, in seconds.
    cached_prompt_share
        Expected fraction of the prompt that the server has cached, from 0 to 1.
    sample_limit
        Largest number of servers that could be compared for this choice.
    """

    identity: str
    first_token_s: float
    total_s: float
    cached_prompt_share: float
    sample_limit: int


class BackendChooser:
    """Samples a few servers and selects the one with the least expected completion time.

    Parameters
    ----------
    index, states
        Known servers and their measurements.
    sizes
        Estimates of prefill time and of the share of long work in all work.
    availability_zone
        Zone of this entry; servers in other zones cost one more round trip.
    random
        Random source of the samples. Entries sample independently, so that they do not all
        choose the one server that was idle in the last load report.
    switches
        Mechanisms of the policy that are enabled.

    Notes
    -----
    Long work goes to the first servers of an order that all entries derive from the identities,
    so the long work of all entries is concentrated on few servers without any message between
    entries.

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
        self._availability_zone = availability_zone
        self._random = random
        self._switches = switches
        # Per version key: the identities for which the order was made, and these in hash order.
        self._hash_orders: dict[tuple[str, str], tuple[tuple[str, ...], list[str]]] = {}

    def choose(
        self,
        request: RequestInfo,
        version_key: tuple[str, str],
        now_s: float,
        exclude: Collection[str] = (),
        capacity_rule: CapacityRule = CapacityRule.WINDOW,
    ) -> ServerChoice | None:
        """Return the best sampled server with capacity, or None if there is none.

        Parameters
        ----------
        request
            Request for which a server is chosen.
        version_key
            Model and version that the server must have loaded.
        now_s
            Present time in seconds.
        exclude
            Identities that must not be used, such as those already tried.
        capacity_rule
            Which servers count as having capacity.
        """
        sampled = self._sample_servers(request, version_key, now_s, exclude, capacity_rule)
        home = self._home_server(version_key, request) if self._switches.prefix_credit else None
        choices = [
            self._estimate_times(identity, request, now_s, identity == home) for identity in sampled
        ]
        return min(choices, key=self._cost_s, default=None)

    def has_capacity(
        self,
        version_key: tuple[str, str],
        request: RequestInfo,
        now_s: float,
        capacity_rule: CapacityRule,
    ) -> bool:
        """Return whether any sampled server of a version can accept a request now."""
        return bool(self._sample_servers(request, version_key, now_s, (), capacity_rule))

    def window(self, version_key: tuple[str, str]) -> float:
        """Return the sum of this entry's windows over a version's servers, in attempts.

        That is the number of attempts that the entry may have in flight on the version at once.
        """
        engine_identities = self._index.engine_identities(version_key)
        return sum(self._states[identity].window for identity in engine_identities)

    def _cost_s(self, choice: ServerChoice) -> float:
        """Return the expected completion time, in seconds, with surcharges by which servers differ.

        Servers in another availability zone cost one more round trip.

        The surcharge for load, 10 ms at a full batch of this entry's own attempts, decides
        between servers with nearly equal times.
        """
        state = self._states[choice.identity]
        record = self._index.records[choice.identity]
        cost_s = choice.total_s
        if record.availability_zone != self._availability_zone:
            cost_s += OTHER_ZONE_ROUND_TRIP_S
        return cost_s + 0.01 * state.in_flight / state.slots

    def _pool_for_length(self, request: RequestInfo, version_key: tuple[str, str]) -> list[str]:
        """Return the version's servers reserved for long or for short work, as the request is.

        The fraction of servers for long work is that of long work in all work, rounded up, but at
        most half of the servers. With fewer than 3 servers, or without recent long work, all
        requests share all servers.
        """
        engine_identities = self._index.engine_identities(version_key)
        if not self._switches.long_separation or len(engine_identities) < 3:
            return engine_identities
        long_share = self._sizes.long_share()
        if long_share <= 0.0:
            return engine_identities
        order = self._hash_order(version_key, engine_identities)
        long_pool_size = min(len(order) // 2, max(1, ceil(long_share * len(order))))
        return order[:long_pool_size] if self._sizes.is_long(request) else order[long_pool_size:]

    def _hash_order(self, version_key: tuple[str, str], engine_identities: list[str]) -> list[str]:
        """Return the identities ordered by hash, the same at all entries; orders are cached.

        A cached order is used as long as the version has the same servers.
        """
        cached = self._hash_orders.get(version_key)
        if (
            cached is None
            or len(cached[0]) != len(engine_identities)
            or cached[0] != tuple(engine_identities)
        ):
            order = sorted(
                engine_identities,
                key=lambda identity: xxhash.xxh3_64_intdigest(identity.encode()),
            )
            cached = (tuple(engine_identities), order)
            self._hash_orders[version_key] = cached
        return cached[1]

    def _sample_servers(
        self,
        request: RequestInfo,
        version_key: tuple[str, str],
        now_s: float,
        exclude: Collection[str],
        capacity_rule: CapacityRule,
    ) -> list[str]:
        """Sample servers with capacity for a request.

        Returns up to ``SAMPLE_SIZE`` identities. Servers in the pool for the request's length come
        first, then, for short work, all servers of the version. If all windows are full, the
        capacity rule may allow servers with free batch slots. The parameters are those of
        ``choose``.
        """
        engine_identities = self._index.engine_identities(version_key)
        pools = [self._pool_for_length(request, version_key)]
        respects_window = capacity_rule is not CapacityRule.ANY
        may_use_long_pool = not self._switches.long_separation or not self._sizes.is_long(request)
        if may_use_long_pool and pools[0] is not engine_identities:
            pools.append(engine_identities)
        for pool in pools:
            sampled = self._sample_pool(pool, version_key, request, exclude, respects_window)
            if sampled:
                return sampled
        if capacity_rule in (CapacityRule.ANY, CapacityRule.WINDOW):
            return []
        sampled = self._sample_free_slots(
            pools[0], exclude, capacity_rule is CapacityRule.FREE_SLOT, now_s
        )
        # Servers of long work take short work beyond the windows only when no other entry uses
        # them.
        return sampled or self._sample_free_slots(pools[-1], exclude, False, now_s)

    def _sample_free_slots(
        self, pool: list[str], exclude: Collection[str], demand_is_steady: bool, now_s: float
    ) -> list[str]:
        """Sample servers with free batch slots, if the pool as a whole has some for this entry.

        Without steady demand, only a pool that no other entry uses counts as having free slots.
        """
        states = [self._states[identity] for identity in pool]
        if not has_free_slots(states, self._states.share, demand_is_steady):
            return []
        free_identities = [
            identity for identity in self._draw(pool) if self._is_free(identity, now_s)
        ]
        # dict.fromkeys drops servers that were drawn twice and keeps the random order.
        return [identity for identity in dict.fromkeys(free_identities) if identity not in exclude][
            :SAMPLE_SIZE
        ]

    def _is_free(self, identity: str, now_s: float) -> bool:
        """Return whether a server has a free batch slot, is not slow and has few prompts to read.

        This is asked for attempts beyond the window. A server is slow if its expected token gap
        exceeds the mean of all servers by ``SLOW_TOKEN_GAP_RATIO``.
        """
        state = self._states[identity]
        is_slow = (
            self._states.expected_token_gap_s(state, now_s)
            > SLOW_TOKEN_GAP_RATIO * self._states.mean_token_gap_s
        )
        return (
            not is_slow
            and state.has_free_slot(now_s)
            and state.pending_prefill_s <= MAX_PENDING_PREFILL_S
        )

    def _sample_pool(
        self,
        pool: list[str],
        version_key: tuple[str, str],
        request: RequestInfo,
        exclude: Collection[str],
        respects_window: bool,
    ) -> list[str]:
        """Return the request's home server and random others of a pool, as far as usable.

        Returns up to ``SAMPLE_SIZE`` identities. With ``respects_window`` only servers within this
        entry's limits are usable, see ``_is_usable``.
        """
        sampled: list[str] = []
        home = None
        if self._switches.prefix_credit and request.prefix_digests:
            home = self._home_server(version_key, request)
            if (
                home is not None
                and home in pool
                and self._is_usable(home, exclude, respects_window)
            ):
                sampled.append(home)
        for identity in self._draw(pool):
            if len(sampled) >= SAMPLE_SIZE:
                break
            if identity not in sampled and self._is_usable(identity, exclude, respects_window):
                sampled.append(identity)
        return sampled

    def _home_server(self, version_key: tuple[str, str], request: RequestInfo) -> str | None:
        """Return the server that all entries prefer for a conversation's cached prefixes.

        It is derived from the digest of the prompt's first (shortest) prefix, which stays the same
        in later requests of the conversation. None without engines or prefixes.
        """
        engine_identities = self._index.engine_identities(version_key)
        if not engine_identities or not request.prefix_digests:
            return None
        digest = xxhash.xxh3_64_intdigest(request.prefix_digests[0].encode())
        return self._hash_order(version_key, engine_identities)[digest % len(engine_identities)]

    def _draw(self, pool: list[str]) -> list[str]:
        """Return up to ``2 * SAMPLE_SIZE`` servers in random order.

        These are twice as many as are compared, since some of them may not be usable. A small pool
        is returned whole; from a large one, servers are drawn with replacement.
        """
        pool_size = len(pool)
        if pool_size <= 2 * SAMPLE_SIZE:
            return self._random.sample(pool, pool_size)
        return [pool[int(self._random.random() * pool_size)] for _ in range(2 * SAMPLE_SIZE)]

    def _is_usable(self, identity: str, exclude: Collection[str], respects_window: bool) -> bool:
        """Return whether a server is known, not excluded and, if asked, within its limits.

        The limits are this entry's window and its share of the allowed pending prefill.
        """
        state = self._states.get(identity)
        if state is None or identity in exclude:
            return False
        if not respects_window:
            return True
        if not state.has_window_capacity():
            return False
        return state.pending_prefill_s <= MAX_PENDING_PREFILL_S * self._states.share

    def _estimate_times(
        self, identity: str, request: RequestInfo, now_s: float, is_home: bool
    ) -> ServerChoice:
        """Estimate the times to the first token and to the end of a request's answer.

        The time to first token adds up the server's overhead, the prefill of the part of the
        prompt that is not cached, pending prefills, the wait for a batch slot, and a penalty
        after a recent failure. A server whose tokens come slower than the mean is expected to read
        prompts slower by the same factor. ``is_home`` states whether the server is the home server
        of the request's conversation, which is credited with a minimum of cached prompt.
        """
        state = self._states[identity]
        token_gap_s = self._states.mean_token_gap_s
        overhead_s = self._states.mean_first_token_overhead_s
        if self._switches.straggler_rates:
            token_gap_s = self._states.expected_token_gap_s(state, now_s)
            overhead_s = self._states.expected_first_token_overhead_s(state, now_s)
        cached_share = 0.0
        if self._switches.prefix_credit:
            cached_share = state.cached_prompt_share(request.prefix_digests)
            cached_share = max(cached_share, HOME_CACHED_SHARE) if is_home else cached_share
        prefill_s = (1 - cached_share) * self._sizes.prefill_s(request)
        prefill_s *= max(1.0, token_gap_s / self._states.mean_token_gap_s)
        wait_s = self._expected_wait_s(state, token_gap_s)
        first_token_s = overhead_s + prefill_s + state.pending_prefill_s + wait_s
        if now_s - state.failed_at_s < RECENT_FAILURE_S:
            first_token_s += RECENT_FAILURE_PENALTY_S
        total_s = first_token_s + request.expected_output_tokens * token_gap_s
        return ServerChoice(identity, first_token_s, total_s, cached_share, SAMPLE_SIZE)

    def _expected_wait_s(self, state: ServerState, token_gap_s: float) -> float:
        """Return the expected wait for a batch slot, plus the slowdown by a fuller batch.

        The result is in seconds. Only this entry's own attempts count as load. ``token_gap_s`` is
        the time between tokens that is expected on the server. A batch full of this entry's
        attempts is taken to cost 10% of the time of a mean answer (the factor 0.1).
        """
        in_flight = state.in_flight
        waiting_attempts = max(0.0, in_flight + 1 - state.slots)
        service_s = self._sizes.mean_output_tokens * token_gap_s
        return (
            waiting_attempts * service_s / state.slots + 0.1 * in_flight / state.slots * service_s
        )
