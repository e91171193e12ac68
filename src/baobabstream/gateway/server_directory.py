"""Backend servers as this gateway knows them: announcements, load and recent behaviour."""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Mapping

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.routing.server_choice import ServerLoad
from baobabstream.wire.coordination_messages import ServerRow, ServerState, ServerWork, VersionLoad

__all__ = ["KnownServer", "ServerDirectory"]

# Intervals between announcements after which a silent server counts as lost; single announcements
# may be late or missed.
MAX_MISSED_HEARTBEATS = 4.0
# A server that cannot be reached is suspended this long, and twice as long each further time.
MIN_SUSPENSION_S, MAX_SUSPENSION_S = 0.3, 3.0
# Weight of the newest response in the moving averages of the failure rate and the slowdown.
FAILURE_RATE_WEIGHT, SLOWDOWN_WEIGHT = 0.25, 0.2
# A response counts in the average with at most this slowdown.
MAX_AVERAGED_SLOWDOWN = 10.0
# Fraction per second by which the averages of a server without responses return to the values of a
# healthy server, so that it is tried again.
RECOVERY_PER_S = 0.15
# Shared prompt prefixes that are remembered for each server; an engine's memory holds a few
# hundred.
MAX_CACHED_PROMPTS = 400

NO_WORK = ServerWork(0, 0)


class KnownServer:
    """One process of a backend server, with its load and recent behaviour.

    Parameters
    ----------
    row
        Newest announcement of the server.
    pool
        Connections to it.
    now_s
        Time in seconds at which it was first announced here.

    Attributes
    ----------
    last_announced_s
        Time of its last announcement in seconds.
    in_flight
        Number of requests of this gateway at the server.
    queued_prompt_s
        Expected seconds to process the prompts of this gateway's requests that wait there.
    remote_work
        Requests and prompts of all other gateways at the server.
    suspended_until_s
        Time in seconds before which requests go to other servers if possible.
    good_responses, bad_responses
        Responses by which the versions of a service are compared during a rollout.
    """

    def __init__(self, row: ServerRow, pool: ConnectionPool, now_s: float) -> None:
        self.row = row
        self.pool = pool
        self.last_announced_s = now_s
        self.in_flight = 0
        self.queued_prompt_s = 0.0
        self.remote_work = NO_WORK
        self.suspended_until_s = 0.0
        self.good_responses = 0
        self.bad_responses = 0
        self._failure_rate = 0.0
        self._slowdown = 1.0
        self._averages_updated_s = now_s
        self._suspension_count = 0
        # Keys of the prompt prefixes that the server probably has cached, the oldest first.
        self._cached_prompts: OrderedDict[str | None, None] = OrderedDict()

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
        """Return this gateway's requests and prompts at the server, for its report."""
        return ServerWork(self.in_flight, int(self.queued_prompt_s * 1000))

    def has_cached_prompt(self, shared_prompt_key: str | None) -> bool:
        """Return whether the server has recently processed a shared prompt prefix."""
        return shared_prompt_key in self._cached_prompts

    def record_cached_prompt(self, shared_prompt_key: str) -> None:
        """Remember that the server has processed a shared prompt prefix."""
        self._cached_prompts[shared_prompt_key] = None
        self._cached_prompts.move_to_end(shared_prompt_key)
        if len(self._cached_prompts) > MAX_CACHED_PROMPTS:
            self._cached_prompts.popitem(last=False)

    def record_response(self, failed: bool, slowdown: float | None, now_s: float) -> None:
        """Add a response to the averages, and end a suspension.

        Parameters
        ----------
        failed
            Whether the server failed the request.
        slowdown
            Response time as a multiple of the expected one, or None if there is no response time.
        now_s
            Time in seconds.
        """
        self._recover_averages(now_s)
        self._suspension_count = 0
        self.suspended_until_s = 0.0
        self._failure_rate += FAILURE_RATE_WEIGHT * (float(failed) - self._failure_rate)
        if slowdown is not None:
            capped_slowdown = min(slowdown, MAX_AVERAGED_SLOWDOWN)
            self._slowdown += SLOWDOWN_WEIGHT * (capped_slowdown - self._slowdown)

    def suspend(self, now_s: float) -> float:
        """Suspend the server, and return for how many seconds.

        The time doubles with each suspension that follows without a response in between.
        """
        suspension_s = min(MIN_SUSPENSION_S * 2**self._suspension_count, MAX_SUSPENSION_S)
        self._suspension_count += 1
        self.suspended_until_s = now_s + suspension_s
        return suspension_s

    def _recover_averages(self, now_s: float) -> None:
        """Move the averages towards a healthy server by the time since the last call."""
        remaining_fraction = max(0.0, 1.0 - RECOVERY_PER_S * (now_s - self._averages_updated_s))
        self._averages_updated_s = now_s
        self._failure_rate *= remaining_fraction
        self._slowdown = 1.0 + (self._slowdown - 1.0) * remaining_fraction


class ServerDirectory:
    """All known backend servers by service.

    Parameters
    ----------
    make_pool
        Returns a new connection pool for a server.
    heartbeat_s
        Seconds between two announcements of a server.
    """

    def __init__(
        self, make_pool: Callable[[ServerRow], ConnectionPool], heartbeat_s: float
    ) -> None:
        self._make_pool = make_pool
        self._expiry_s = MAX_MISSED_HEARTBEATS * heartbeat_s
        self._announcements = AnnouncementTable()
        self._servers: dict[str, KnownServer] = {}
        self._servers_by_service: dict[str, dict[str, KnownServer]] = defaultdict(dict)
        # Earliest time from which the expiry of any server is counted, in seconds.
        self._expiry_starts_s = 0.0

    def __iter__(self):
        return iter(self._servers.values())

    def get(self, server_id: str) -> KnownServer | None:
        """Return the server with an identity, or None if it is unknown."""
        return self._servers.get(server_id)

    def merge(self, rows: Iterable[ServerRow], now_s: float) -> list[ServerRow]:
        """Apply announcements from a coordination host.

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
        """Record that servers have repeated their announcements without a change."""
        servers = (self._servers.get(server_id) for server_id in server_ids)
        for server in servers:
            if server is not None:
                server.last_announced_s = now_s

    def set_remote_work(self, work: Mapping[str, ServerWork]) -> None:
        """Replace the work that other gateways have reported, given by server identity."""
        for server in self._servers.values():
            server.remote_work = work.get(server.row.server_id, NO_WORK)

    def version_loads(self) -> tuple[VersionLoad, ...]:
        """Return the number of servers and requests in flight of each version of each service."""
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

    def restart_expiry(self, now_s: float) -> None:
        """Restart the expiry of all servers after a time without any coordination host."""
        self._expiry_starts_s = now_s

    def has_server(self, service: str) -> bool:
        """Return whether a server of a service is known, ready or not."""
        return bool(self._servers_by_service.get(service))

    def ready_servers(self, service: str, now_s: float) -> list[KnownServer]:
        """Return the servers that take new requests of a service."""
        return [
            server
            for server in self._servers_by_service.get(service, {}).values()
            if server.row.state is ServerState.READY and not self._is_expired(server, now_s)
        ]

    def _is_expired(self, server: KnownServer, now_s: float) -> bool:
        """Return whether a server has missed too many announcements."""
        last_announced_s = max(server.last_announced_s, self._expiry_starts_s)
        return now_s - last_announced_s > self._expiry_s

    def _apply_row(self, row: ServerRow, now_s: float) -> None:
        """Add, update or remove the server of a changed row."""
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
            new_server = KnownServer(row, self._make_pool(row), now_s)
            self._servers[row.server_id] = new_server
            self._servers_by_service[row.service][row.server_id] = new_server

    def _remove(self, server: KnownServer) -> None:
        """Close the idle connections to a server and forget it."""
        server.pool.close()
        self._servers.pop(server.row.server_id, None)
        self._servers_by_service[server.row.service].pop(server.row.server_id, None)
