"""Backend servers as this gateway knows them: announcements, load and recent behaviour."""

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable, Iterable, Mapping

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.routing.server_choice import ServerLoad
from baobabstream.wire.coordination_messages import ServerRow, ServerState, ServerWork, VersionLoad

__all__ = ["KnownServer", "ServerDirectory"]

# Announcements that may be missed in a row before a server counts as lost; they come late at times.
MISSED_HEARTBEATS = 4.0
# A server that cannot be reached is left alone this long, and twice as long each further time.
FIRST_HOLD_S, LONGEST_HOLD_S = 0.3, 3.0
# Weight of the newest answer in the averages of failures and of answer times.
FAILURE_WEIGHT, SLOWNESS_WEIGHT = 0.25, 0.2
MAX_SLOWNESS = 10.0
# Averages of a server without answers return to normal by this share per second, so that it is
# tried again.
RECOVERY_PER_S = 0.15
# Shared starts of prompts that are remembered per server; an engine's memory holds a few hundred.
MAX_REMEMBERED_PROMPTS = 400

NO_WORK = ServerWork(0, 0)


class KnownServer:
    """One incarnation of a backend server and what this gateway has seen of it.

    Parameters
    ----------
    row
        Its announcement.
    pool
        Connections to it.
    now_s
        Time at which it was first heard of.
    """

    def __init__(self, row: ServerRow, pool: ConnectionPool, now_s: float) -> None:
        self.row = row
        self.pool = pool
        self.heard_s = now_s
        self.in_flight = 0
        self.pending_s = 0.0
        self.elsewhere = NO_WORK
        self.held_until_s = 0.0
        self.good = 0
        self.bad = 0
        self._failure_share = 0.0
        self._slowness = 1.0
        self._averaged_s = now_s
        self._refusals = 0
        self._prompts: OrderedDict[str | None, None] = OrderedDict()

    def load(self, now_s: float, availability_zone: str, own_s: float) -> ServerLoad:
        """Return the input of the choice among servers.

        Parameters
        ----------
        now_s
            Time in seconds.
        availability_zone
            Where this gateway is.
        own_s
            Expected time for this server to read the request's prompt.
        """
        self._recover(now_s)
        return ServerLoad(
            self.row.server_id,
            self.in_flight + self.elsewhere.in_flight,
            self.pending_s + self.elsewhere.pending_ms / 1000,
            own_s,
            self._slowness,
            self._failure_share,
            self.row.availability_zone == availability_zone,
        )

    def work(self) -> ServerWork:
        """Return this gateway's work at the server, for its report."""
        return ServerWork(self.in_flight, int(self.pending_s * 1000))

    def holds(self, cached_prompt: str | None) -> bool:
        """Return whether the server has lately read the shared start of a prompt."""
        return cached_prompt in self._prompts

    def note_prompt(self, cached_prompt: str) -> None:
        """Note that the server has read the shared start of a prompt."""
        self._prompts[cached_prompt] = None
        self._prompts.move_to_end(cached_prompt)
        if len(self._prompts) > MAX_REMEMBERED_PROMPTS:
            self._prompts.popitem(last=False)

    def note_answer(self, failed: bool, slowness: float | None, now_s: float) -> None:
        """Take an answer into the averages.

        Parameters
        ----------
        failed
            Whether the server failed the request.
        slowness
            Time of the answer as a multiple of the expected one, or None if it tells nothing.
        now_s
            Time in seconds.
        """
        self._recover(now_s)
        self._refusals = 0
        self.held_until_s = 0.0
        self._failure_share += FAILURE_WEIGHT * (float(failed) - self._failure_share)
        if slowness is not None:
            capped = min(slowness, MAX_SLOWNESS)
            self._slowness += SLOWNESS_WEIGHT * (capped - self._slowness)

    def hold(self, now_s: float) -> float:
        """Leave the server alone for a while; returns the time in seconds."""
        hold_s = min(FIRST_HOLD_S * 2**self._refusals, LONGEST_HOLD_S)
        self._refusals += 1
        self.held_until_s = now_s + hold_s
        return hold_s

    def _recover(self, now_s: float) -> None:
        factor = max(0.0, 1.0 - RECOVERY_PER_S * (now_s - self._averaged_s))
        self._averaged_s = now_s
        self._failure_share *= factor
        self._slowness = 1.0 + (self._slowness - 1.0) * factor


class ServerDirectory:
    """All known backend servers by service.

    Parameters
    ----------
    make_pool
        Returns the connections to a server.
    heartbeat_s
        Time between two announcements of a server.
    """

    def __init__(
        self, make_pool: Callable[[ServerRow], ConnectionPool], heartbeat_s: float
    ) -> None:
        self._make_pool = make_pool
        self._expiry_s = MISSED_HEARTBEATS * heartbeat_s
        self._table = AnnouncementTable()
        self._servers: dict[str, KnownServer] = {}
        self._by_service: dict[str, dict[str, KnownServer]] = defaultdict(dict)
        self._listening_since_s = 0.0

    def __iter__(self):
        return iter(self._servers.values())

    def get(self, server_id: str) -> KnownServer | None:
        """Return a known server, or None."""
        return self._servers.get(server_id)

    def merge(self, rows: Iterable[ServerRow], now_s: float) -> list[ServerRow]:
        """Take rows of a coordination host; returns those that changed something."""
        changed: list[ServerRow] = []
        for row in rows:
            if row.state is ServerState.GONE:
                changes = self._table.withdraw(row.server_id, row.born_ms)
            else:
                changes = self._table.merge(row)
            changed.extend(changes)
            known = self._servers.get(row.server_id)
            if known is not None and known.row.born_ms == row.born_ms:
                known.heard_s = now_s
        for row in changed:
            self._follow(row, now_s)
        return changed

    def refresh(self, server_ids: Iterable[str], now_s: float) -> None:
        """Note that servers have announced themselves again."""
        known = (self._servers.get(server_id) for server_id in server_ids)
        for server in known:
            if server is not None:
                server.heard_s = now_s

    def set_elsewhere(self, work: Mapping[str, ServerWork]) -> None:
        """Take the work that other gateways have reported."""
        for server in self._servers.values():
            server.elsewhere = work.get(server.row.server_id, NO_WORK)

    def version_loads(self) -> tuple[VersionLoad, ...]:
        """Return the servers and requests in flight of each version of each service."""
        counts: Counter[tuple[str, str]] = Counter()
        in_flight: Counter[tuple[str, str]] = Counter()
        for server in self._servers.values():
            key = (server.row.service, server.row.version)
            counts[key] += 1
            in_flight[key] += server.in_flight
        return tuple(VersionLoad(*key, counts[key], in_flight[key]) for key in counts)

    def resume_listening(self, now_s: float) -> None:
        """Start the expiry anew after a time without contact to any coordination host."""
        self._listening_since_s = now_s

    def knows(self, service: str) -> bool:
        """Return whether a server of a service has been heard of."""
        return bool(self._by_service.get(service))

    def ready(self, service: str, now_s: float) -> list[KnownServer]:
        """Return the servers that take new requests of a service."""
        return [
            server
            for server in self._by_service.get(service, {}).values()
            if server.row.state is ServerState.READY and not self._expired(server, now_s)
        ]

    def _expired(self, server: KnownServer, now_s: float) -> bool:
        heard_s = max(server.heard_s, self._listening_since_s)
        return now_s - heard_s > self._expiry_s

    def _follow(self, row: ServerRow, now_s: float) -> None:
        known = self._servers.get(row.server_id)
        if known is not None and known.row.born_ms == row.born_ms:
            if row.state is ServerState.GONE:
                self._remove(known)
            else:
                known.row = row
            return
        if known is not None:
            self._remove(known)
        if row.state is not ServerState.GONE:
            server = KnownServer(row, self._make_pool(row), now_s)
            self._servers[row.server_id] = server
            self._by_service[row.service][row.server_id] = server

    def _remove(self, server: KnownServer) -> None:
        server.pool.close()
        self._servers.pop(server.row.server_id, None)
        self._by_service[server.row.service].pop(server.row.server_id, None)
