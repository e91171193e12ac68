"""Backend servers as this gateway knows them: announcements, load and recent behaviour.

Every backend server sends announcements (heartbeats) with its address and state. The gateway gets
them from coordination hosts as ``ServerRow`` objects, in which ``born_ms`` is the start time of the
server's process in milliseconds. Several servers form a service. The load of a server is the
requests at it and the time that their waiting prompts need; other gateways report theirs by way of
the coordination hosts.

The slowdown of a response is its time as a multiple of the expected time. A suspended server is one
that could not be reached, and gets no requests for a while if there is another one. A shared prompt
prefix is the part of a prompt that other requests may begin with too; a server that has processed
it has it in its cache. Times are those of the event loop's clock, in seconds.
"""

from collections import Counter, OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import log

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.routing.arrival_estimator import ArrivalEstimator
from baobabstream.routing.preferred_servers import PreferenceKey, preferred_server_ids
from baobabstream.routing.rejection_guard import RejectionGuard
from baobabstream.routing.request_limit import RequestLimit
from baobabstream.routing.server_choice import ServerLoad
from baobabstream.routing.stable_hashing import hash_fraction
from baobabstream.wire.coordination_messages import (
    LeavingServer,
    ServerLimit,
    ServerRow,
    ServerState,
    ServerWork,
    VersionLoad,
)

__all__ = ["BegunAnswer", "KnownServer", "ServerDirectory"]

# A server without an announcement for this multiple of the interval between announcements counts as
# lost. It is above 1, since single announcements may be late or missed.
MAX_MISSED_HEARTBEATS = 4.0
# Seconds for which a server that cannot be reached is suspended the first time, and at most. The
# time doubles with each further suspension.
MIN_SUSPENSION_S, MAX_SUSPENSION_S = 0.3, 3.0
# Lower bound of a measured pace. Events that arrive at once have a pace of 0, without a logarithm.
MIN_PACE = 0.05
# Weight (0 to 1) of the newest response in the moving averages of the failure rate and the
# slowdown.
FAILURE_RATE_WEIGHT, SLOWDOWN_WEIGHT = 0.25, 0.2
# Slower responses count in the average with this slowdown, so that one of them does not raise it
# beyond measure.
MAX_AVERAGED_SLOWDOWN = 10.0
# Fraction per second by which the averages of a server return to the values of a healthy server,
# which are a failure rate of 0 and a slowdown of 1. A server that gets no requests because of its
# averages is so tried again.
RECOVERY_PER_S = 0.15
# Most shared prompt prefixes that are remembered for each server. The cache of an engine, which is
# a server that runs models, holds a few hundred.
MAX_CACHED_PROMPTS = 400
# Most requests given up at each server that are remembered in case it crashes.
MAX_ABANDONED_RUNS = 256
# Time in seconds for which the end of a limit is reported to the coordination hosts.
ENDED_LIMIT_REPORT_S = 10.0
# Mean age in seconds of the reports of other gateways when a coordination host sums them. Gateways
# report twice a second.
MEAN_REPORT_AGE_S = 0.25

# Work of other gateways at a server for which none is reported: 0 requests, 0 ms for their prompts.
NO_WORK = ServerWork(0, 0)


@dataclass(frozen=True, slots=True)
class _AbandonedRun:
    """Run of a request that nobody waits for any more, but that the server may go on with.

    Parameters
    ----------
    request_keys
        Keys of the request.
    ends_s
        Time in seconds at which the server stops working on it.
    """

    request_keys: frozenset[str]
    ends_s: float


@dataclass(frozen=True, slots=True, eq=False)
class BegunAnswer:
    """Keys of a request that a server has begun to answer.

    Answers to requests with the same keys are different objects.
    """

    request_keys: frozenset[str]


class KnownServer:
    """One process of a backend server, with its load and recent behaviour.

    Parameters
    ----------
    row
        Newest announcement of the server.
    pool
        Connections to the server.
    now_s
        Time in seconds at which it was first announced here.
    arrivals
        Estimate of the arrivals at the server's service, shared by its servers.
    preference
        Rank of the server among those that this gateway prefers.

    Attributes
    ----------
    last_announced_s
        Time of its last announcement in seconds.
    in_flight
        Number of requests of this gateway at the server.
    queued_prompt_s
        Expected seconds to process the prompts of this gateway's requests that wait there.
    remote_work
        Number of requests of all other gateways at the server (``in_flight``), and the expected
        milliseconds to process the prompts that wait there (``pending_ms``).
    is_leaving
        Whether an answer of the server has said that it is about to leave.
    refuses_until_s
        Time in seconds up to which the server has asked for no requests.
    suspended_until_s
        Time in seconds before which requests go to other servers if possible.
    good_responses, bad_responses
        Number of responses of each kind since the process is known. By them the versions of a
        service are compared during a rollout, in which one version replaces another.
    limit
        Requests a second that the server takes from all gateways, if it names a limit.
    rejection_guard
        Keeps the rejections of the server low while it is brittle.
    has_crashed
        Whether this process of the server has ended without notice.
    begun_answers
        Answers that have begun or ended lately, whose requests may yet turn out to crash the
        server.
    paces, log_pace_sum, log_pace_squares
        Number of streams whose pace was measured, and the sums of the natural logarithms of the
        pace and of their squares; see `record_pace`.
    """

    def __init__(
        self,
        row: ServerRow,
        pool: ConnectionPool,
        now_s: float,
        arrivals: ArrivalEstimator,
        preference: PreferenceKey,
    ) -> None:
        self.preference = preference
        self.row = row
        self.pool = pool
        self.arrivals = arrivals
        self.last_announced_s = now_s
        self.in_flight = 0
        self.queued_prompt_s = 0.0
        self.remote_work = NO_WORK
        self.is_leaving = False
        self.refuses_until_s = 0.0
        self.suspended_until_s = 0.0
        self.good_responses = 0
        self.bad_responses = 0
        self.limit = RequestLimit()
        self.rejection_guard = RejectionGuard()
        self.has_crashed = False
        self.begun_answers: set[BegunAnswer] = set()
        self._abandoned_runs: deque[_AbandonedRun] = deque(maxlen=MAX_ABANDONED_RUNS)
        self.paces = 0
        self.log_pace_sum = 0.0
        self.log_pace_squares = 0.0
        # Moving averages: fraction of failed responses, and slowdown of the others.
        self._failure_rate = 0.0
        self._slowdown = 1.0
        self._averages_updated_s = now_s
        # Suspensions since the last response.
        self._suspension_count = 0
        # Keys of the prompt prefixes that the server probably has cached, the one used longest ago
        # first; a dictionary without values is an ordered set.
        self._cached_prompts: OrderedDict[str | None, None] = OrderedDict()

    @property
    def process_id(self) -> str:
        """Identity of the server's process; another start of the server is another process."""
        return self.row.process_id

    @property
    def is_alive(self) -> bool:
        """Whether an open connection shows that the server's process has not ended."""
        return not self.has_crashed and (self.in_flight > 0 or self.pool.has_open_idle_connection)

    def record_abandoned_run(self, request_keys: frozenset[str], ends_s: float) -> None:
        """Remember a request that was given up before its answer was complete.

        Parameters
        ----------
        request_keys
            Keys of the request that may turn out to crash the server.
        ends_s
            Time in seconds at which the server stops working on it.
        """
        self._abandoned_runs.append(_AbandonedRun(request_keys, ends_s))

    def take_crash_suspects(self, now_s: float) -> set[frozenset[str]]:
        """Return the keys of each request that may have crashed the server, and forget them.

        Requests whose connections are still open are not among them. ``now_s`` is the present time
        in seconds.
        """
        suspects = {answer.request_keys for answer in self.begun_answers}
        suspects.update(run.request_keys for run in self._abandoned_runs if run.ends_s > now_s)
        self.begun_answers.clear()
        self._abandoned_runs.clear()
        return suspects

    def load(self, now_s: float, availability_zone: str, prompt_s: float) -> ServerLoad:
        """Return the load of the server for one request, by which servers are compared.

        Parameters
        ----------
        now_s
            Time in seconds.
        availability_zone
            Availability zone of this gateway.
        prompt_s
            Expected seconds for this server to process the request's prompt.
        """
        # The fields of ServerLoad in their order: identity, requests and expected seconds of
        # waiting prompts of all gateways, this prompt, averages, and whether the zone is the same.
        self._recover_averages(now_s)
        return ServerLoad(
            self.row.server_id,
            self.in_flight + self.remote_work.in_flight,
            self.queued_prompt_s + self.remote_work.pending_ms / 1000,
            prompt_s,
            self._slowdown,
            self._failure_rate,
            self.row.availability_zone == availability_zone,
        )

    def local_work(self) -> ServerWork:
        """Return this gateway's requests at the server and the milliseconds for their prompts.

        The gateway reports them to the coordination hosts, for the other gateways.
        """
        return ServerWork(self.in_flight, int(self.queued_prompt_s * 1000))

    def has_cached_prompt(self, shared_prompt_key: str | None) -> bool:
        """Return whether the server has recently processed a shared prompt prefix.

        The key identifies the prefix and the model. It is None for a prompt without such a prefix,
        which is never found.
        """
        return shared_prompt_key in self._cached_prompts

    def record_cached_prompt(self, shared_prompt_key: str) -> None:
        """Remember that the server has processed a shared prompt prefix, given by its key."""
        self._cached_prompts[shared_prompt_key] = None
        self._cached_prompts.move_to_end(shared_prompt_key)
        if len(self._cached_prompts) > MAX_CACHED_PROMPTS:
            self._cached_prompts.popitem(last=False)

    def record_response(self, failed: bool, slowdown: float | None, now_s: float) -> None:
        """Add a response to the averages, and end a suspension.

        Even a failed response shows that the server can be reached.

        Parameters
        ----------
        failed
            Whether the server failed the request. An answer shows that its process is alive; a
            server that was cut off for a while looked as if it had crashed.
        slowdown
            Response time as a multiple of the expected one, or None if there is no response time.
        now_s
            Time in seconds.
        """
        self._recover_averages(now_s)
        self._suspension_count = 0
        self.suspended_until_s = 0.0
        if not failed:
            self.has_crashed = False
        self._failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self._failure_rate)
        if slowdown is not None:
            capped_slowdown = min(slowdown, MAX_AVERAGED_SLOWDOWN)
            self._slowdown += SLOWDOWN_WEIGHT * (capped_slowdown - self._slowdown)

    def record_pace(self, slowdown: float, count: int = 1) -> None:
        """Add the pace of a stream, its mean time between events over the expected one.

        A ``count`` of -1 takes back a pace that was added before.
        """
        log_pace = log(max(slowdown, MIN_PACE))
        self.paces += count
        self.log_pace_sum += count * log_pace
        self.log_pace_squares += count * log_pace * log_pace

    def suspend(self, now_s: float) -> float:
        """Suspend the server from ``now_s`` on, and return for how many seconds.

        The time doubles with each suspension that follows without a response in between, up to
        ``MAX_SUSPENSION_S``.
        """
        suspension_s = min(MIN_SUSPENSION_S * 2**self._suspension_count, MAX_SUSPENSION_S)
        self._suspension_count += 1
        self.suspended_until_s = now_s + suspension_s
        return suspension_s

    def _recover_averages(self, now_s: float) -> None:
        """Move the averages towards those of a healthy server.

        The distance shrinks by ``RECOVERY_PER_S`` for each second since the last call.
        """
        remaining_fraction = max(0.0, 1.0 - RECOVERY_PER_S * (now_s - self._averages_updated_s))
        self._averages_updated_s = now_s
        self._failure_rate *= remaining_fraction
        self._slowdown = 1.0 + (self._slowdown - 1.0) * remaining_fraction


class ServerDirectory:
    """All known backend servers by service.

    A server is known from its first announcement until it leaves. One that has missed too many
    announcements stays known but is not ready.

    Parameters
    ----------
    make_pool
        Returns a new connection pool for a server.
    heartbeat_s
        Seconds between two announcements of a server.
    gateway, availability_zone
        Name and availability zone of this gateway, by which it prefers some servers.
    """

    def __init__(
        self,
        make_pool: Callable[[ServerRow], ConnectionPool],
        heartbeat_s: float,
        gateway: str = "",
        availability_zone: str = "",
    ) -> None:
        self._gateway = gateway
        self._availability_zone = availability_zone
        self._make_pool = make_pool
        self._expiry_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._announcements = AnnouncementTable()
        # By identity of the server, and by service and identity.
        self._servers: dict[str, KnownServer] = {}
        self._servers_by_service: dict[str, dict[str, KnownServer]] = defaultdict(dict)
        self._arrivals: defaultdict[str, ArrivalEstimator] = defaultdict(ArrivalEstimator)
        # Time in seconds at which the work of the other gateways was last received.
        self._remote_work_received_s = 0.0
        # Earliest time from which the expiry of any server is counted, in seconds.
        self._expiry_starts_s = 0.0

    def __iter__(self):
        """Iterate over all known servers."""
        return iter(self._servers.values())

    def get(self, server_id: str) -> KnownServer | None:
        """Return the server with an identity, or None if it is unknown."""
        return self._servers.get(server_id)

    def find_process(self, process_id: str) -> KnownServer | None:
        """Return the server whose process has an identity, or None if it is unknown or gone."""
        server = self._servers.get(process_id.rpartition(".")[0])
        return server if server is not None and server.process_id == process_id else None

    def merge(self, rows: Iterable[ServerRow], now_s: float) -> list[ServerRow]:
        """Apply announcements from a coordination host.

        Announcements that are older than a known one change nothing but the time of the last
        announcement, and that only if they are of the known process.

        Parameters
        ----------
        rows
            Announcements and departures.
        now_s
            Time in seconds.

        Returns
        -------
        list of ServerRow
            The rows that changed in more than their sequence number.
        """
        changed_rows: list[ServerRow] = []
        for row in rows:
            if row.state is ServerState.GONE:
                changes = self._announcements.withdraw(row.server_id, row.born_ms)
            else:
                changes = self._announcements.merge(row)
            changed_rows.extend(changes)
            server = self._servers.get(row.server_id)
            if server is not None and server.row.born_ms == row.born_ms:
                server.last_announced_s = now_s
        for row in changed_rows:
            self._apply_row(row, now_s)
        return changed_rows

    def refresh(self, server_ids: Iterable[str], now_s: float) -> None:
        """Record that servers have repeated their announcements without a change at ``now_s``."""
        servers = (self._servers.get(server_id) for server_id in server_ids)
        for server in servers:
            if server is not None:
                server.last_announced_s = now_s

    def set_remote_work(self, work: Mapping[str, ServerWork], now_s: float) -> None:
        """Replace the work that other gateways have at the servers, given by server identity.

        ``now_s`` is the time in seconds at which it was received.
        """
        self._remote_work_received_s = now_s
        for server in self._servers.values():
            server.remote_work = work.get(server.row.server_id, NO_WORK)

    def preferred_ids(self, servers: Sequence[KnownServer], now_s: float) -> frozenset[str]:
        """Return which of some servers of one service this gateway prefers, by identity.

        ``now_s`` is the time in seconds; there must be at least one server.
        """
        own_rate_per_s = servers[0].arrivals.own_rate_per_s(now_s)
        return preferred_server_ids((server.preference for server in servers), own_rate_per_s)

    def unseen_requests(self, servers: Sequence[KnownServer], now_s: float) -> float:
        """Return how many requests other gateways have probably sent since their last reports.

        Parameters
        ----------
        servers
            Servers of one service, at least one.
        now_s
            Time in seconds.
        """
        open_requests = sum(server.remote_work.in_flight for server in servers)
        age_s = MEAN_REPORT_AGE_S + now_s - self._remote_work_received_s
        return servers[0].arrivals.arrivals(open_requests, age_s)

    def observe_brittleness(self, server: KnownServer, max_rejections_per_s: float | None) -> bool:
        """Take over what an answer of a server says of its brittleness.

        The servers of a service are brittle together, so it holds for all of them. Returns whether
        it has changed for the server itself.
        """
        for other in self._servers_by_service[server.row.service].values():
            if other is not server:
                other.rejection_guard.observe(max_rejections_per_s)
        return server.rejection_guard.observe(max_rejections_per_s)

    def version_loads(self) -> tuple[VersionLoad, ...]:
        """Return the number of servers and requests of each version of each service.

        The requests are those of this gateway that are in flight.
        """
        server_counts: Counter[tuple[str, str]] = Counter()
        in_flight: Counter[tuple[str, str]] = Counter()
        for server in self._servers.values():
            service_version = (server.row.service, server.row.version)
            server_counts[service_version] += 1
            in_flight[service_version] += server.in_flight
        return tuple(
            VersionLoad(
                *service_version, server_counts[service_version], in_flight[service_version]
            )
            for service_version in server_counts
        )

    def leaving_servers(self) -> tuple[LeavingServer, ...]:
        """Return the servers that have said in an answer that they leave, to be reported.

        Those whose announcements show it already are left out.
        """
        return tuple(
            LeavingServer(server.row.server_id, server.row.born_ms)
            for server in self._servers.values()
            if server.is_leaving and server.row.state is ServerState.READY
        )

    def known_limits(self, now_s: float) -> tuple[ServerLimit, ...]:
        """Return the limits of servers, also those that ended a while ago.

        ``now_s`` is the time in seconds.
        """
        return tuple(
            ServerLimit(server.process_id, server.limit.rate_per_s, now_s - server.limit.observed_s)
            for server in self._servers.values()
            if server.limit.rate_per_s is not None
            or server.limit.observed_s + ENDED_LIMIT_REPORT_S > now_s
        )

    def wanted_tokens(self, now_s: float) -> dict[str, int]:
        """Return how many requests this gateway wants to send to limited servers, by process.

        A gateway that prefers some servers of a service asks for tokens of these only, since it
        would hardly use others. ``now_s`` is the time in seconds.
        """
        wanted_tokens: dict[str, int] = {}
        for servers_by_id in self._servers_by_service.values():
            servers = list(servers_by_id.values())
            if all(server.limit.rate_per_s is None for server in servers):
                continue
            preferred_ids = self.preferred_ids(servers, now_s) or servers_by_id.keys()
            for server in servers:
                if server.row.server_id in preferred_ids:
                    count = server.limit.wanted_tokens(
                        server.arrivals.own_rate_per_s(now_s), len(preferred_ids), now_s
                    )
                    if count:
                        wanted_tokens[server.process_id] = count
        return wanted_tokens

    def apply_limits(
        self, limits: Iterable[ServerLimit], tokens: Mapping[str, int] | None, now_s: float
    ) -> list[KnownServer]:
        """Apply the limits and tokens of a coordination host.

        Parameters
        ----------
        limits
            Limits that any gateway has reported.
        tokens
            Requests that this gateway may send, by server process; None from a host that does not
            lead.
        now_s
            Time in seconds.

        Returns
        -------
        list of KnownServer
            Servers whose limits have changed.
        """
        limits_by_process = {limit.server_process: limit for limit in limits}
        # Most of the time there are none, and the identities of all processes need not be built.
        changed_servers = [
            server
            for server in (self._servers.values() if limits_by_process else ())
            if (limit := limits_by_process.get(server.process_id)) is not None
            and server.limit.observe(limit.rate_per_s, now_s - limit.age_s, now_s)
        ]
        if tokens is not None:
            for server in self._servers.values():
                if server.limit.rate_per_s is not None:
                    server.limit.add_tokens(tokens.get(server.process_id, 0), now_s)
        return changed_servers

    def restart_expiry(self, now_s: float) -> None:
        """Restart the expiry of all servers after a time without any coordination host.

        In that time no announcements could arrive, so their absence says nothing about the servers.
        """
        self._expiry_starts_s = now_s

    def has_server(self, service: str) -> bool:
        """Return whether a server of a service is known, ready or not."""
        return bool(self._servers_by_service.get(service))

    def ready_servers(self, service: str, now_s: float) -> list[KnownServer]:
        """Return the servers of a service that take new requests.

        Servers that are leaving or have missed too many announcements are left out.
        """
        return [
            server
            for server in self._servers_by_service.get(service, {}).values()
            if self.takes_requests(server, now_s)
        ]

    def takes_requests(self, server: KnownServer, now_s: float) -> bool:
        """Return whether a server is ready, and neither leaving nor silent for too long."""
        return (
            server.row.state is ServerState.READY
            and not server.is_leaving
            and not self._is_expired(server, now_s)
        )

    def _is_expired(self, server: KnownServer, now_s: float) -> bool:
        """Return whether a server has missed too many announcements."""
        last_announced_s = max(server.last_announced_s, self._expiry_starts_s)
        return now_s - last_announced_s > self._expiry_s

    def _apply_row(self, row: ServerRow, now_s: float) -> None:
        """Add, update or remove the server of a changed row.

        A row of another process replaces the known server, since its load and averages were those
        of the earlier process.
        """
        server = self._servers.get(row.server_id)
        if server is not None and server.row.born_ms == row.born_ms:
            if row.state is ServerState.GONE:
                self._remove(server)
            else:
                server.row = row
            return
        if server is not None:
            self._remove(server)
        if row.state is not ServerState.GONE:
            new_server = KnownServer(
                row,
                self._make_pool(row),
                now_s,
                self._arrivals[row.service],
                PreferenceKey(
                    row.availability_zone != self._availability_zone,
                    hash_fraction(f"{self._gateway}/{row.server_id}"),
                    row.server_id,
                ),
            )
            self._servers[row.server_id] = new_server
            self._servers_by_service[row.service][row.server_id] = new_server

    def _remove(self, server: KnownServer) -> None:
        """Close the idle connections to a server and forget it."""
        server.pool.close()
        self._servers.pop(server.row.server_id, None)
        self._servers_by_service[server.row.service].pop(server.row.server_id, None)
