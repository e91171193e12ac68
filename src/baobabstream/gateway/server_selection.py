"""Selects the servers to which one request is sent.

A service is a group of equivalent backend servers, and an engine is one that runs models. The
selection remembers at which servers the request has been tried. A suspended server is one that
could not be reached a short time ago. Times are those of the event loop's clock, in seconds.
"""

import asyncio

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.attempt import uncached_prompt_tokens
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import KnownServer
from baobabstream.routing.server_choice import choose_server

__all__ = ["ServerSelection"]


class ServerSelection:
    """Servers for the attempts of one request.

    Parameters
    ----------
    request
        The request.
    context
        State that all requests of the gateway share.
    """

    def __init__(self, request: RoutedRequest, context: GatewayContext) -> None:
        self._request = request
        self._context = context
        self._loop = asyncio.get_running_loop()
        # Identities of the servers at which the current model has been tried, and of those that
        # refused the request without running it.
        self._tried_server_ids: set[str] = set()
        self._refusing_server_ids: set[str] = set()

    def exclude(self, server: KnownServer) -> None:
        """Never select a server again, which has refused the request without running it."""
        self._refusing_server_ids.add(server.row.server_id)

    def has_untried_server(self) -> bool:
        """Return whether a server can be chosen at which the request has not been tried."""
        servers = self._reachable_servers(self._loop.time())
        return any(server.row.server_id not in self._tried_server_ids for server in servers)

    def forget_tried_servers(self) -> None:
        """Select servers without regard to earlier attempts, since another model is tried now."""
        self._tried_server_ids.clear()

    def choose(self, model: str) -> tuple[KnownServer, float]:
        """Choose the server of the next attempt.

        Servers that have asked for a pause, refused the request, have no free connection or cannot
        be reached are excluded, and so are those whose limits allow no request. Servers that have
        not been tried, and those that are not suspended, are preferred. Of the rest, one with a low
        expected time is chosen; see `choose_server`. The session counts as active at the service
        from now on.

        Parameters
        ----------
        model
            Model that the server is to run, or empty for a plain service.

        Returns
        -------
        tuple of KnownServer and float
            The server, and its expected seconds to process the prompt.

        Raises
        ------
        RequestRefused
            ``NO_BACKEND_SERVER`` if no server is left.
        """
        request, context, now_s = self._request, self._context, self._loop.time()
        usable_servers = self._usable_servers(now_s)
        if not usable_servers:
            for server in context.servers_of_session(request.service, request.session, now_s)[:1]:
                # Counts towards the tokens that this gateway asks for.
                server.arrivals.record_send(now_s)
            raise RequestRefused(
                ResultCode.NO_BACKEND_SERVER,
                retry_after_s=context.pause_left_s(request.service, request.session, now_s),
            )
        zone = context.settings.availability_zone
        loads = [
            server.load(now_s, zone, self._expected_prompt_s(server, model))
            for server in usable_servers
        ]
        unseen_requests = context.directory.unseen_requests(usable_servers, now_s)
        usable_servers[0].arrivals.record_send(now_s)
        # A token for a limited server that is not used now probably expires.
        preferred_ids = frozenset(
            server.row.server_id for server in usable_servers if server.limit.rate_per_s is not None
        ) or context.directory.preferred_ids(usable_servers, now_s)
        chosen_load = choose_server(loads, context.random, unseen_requests, preferred_ids)
        chosen_server = next(
            server for server in usable_servers if server.row.server_id == chosen_load.server_id
        )
        chosen_server.limit.use_token()
        self._tried_server_ids.add(chosen_load.server_id)
        context.session_versions.record_request(request.service, request.session, now_s)
        return chosen_server, chosen_load.prompt_s

    def largest_model_time_fraction(self) -> float:
        """Return the largest model's expected time to its first event, over the time left.

        The time left is that until the route's latency target. The expected time is that for the
        prompts that wait at a server and for the prompt of this request; the least one of all
        servers that may run the request is used. The result is infinite if the target has passed,
        or the route has no models or no candidate servers.
        """
        request, context, now_s = self._request, self._context, self._loop.time()
        time_left_s = request.arrived_s + request.route.latency_target_s - now_s
        if time_left_s <= 0 or not request.route.model_names:
            return float("inf")
        largest_model = request.route.model_names[-1]
        zone = context.settings.availability_zone
        first_event_times_s = (
            load.queued_prompt_s + load.prompt_s * load.slowdown
            for load in (
                server.load(now_s, zone, self._expected_prompt_s(server, largest_model))
                for server in context.candidates(request.service, request.session, now_s)
            )
        )
        return min(first_event_times_s, default=float("inf")) / time_left_s

    def _usable_servers(self, now_s: float) -> list[KnownServer]:
        """Return the servers that an attempt may be sent to now, the preferred ones if any are.

        ``now_s`` is the present time in seconds.
        """
        reachable_servers = self._reachable_servers(now_s)
        untried_servers = [
            server
            for server in reachable_servers
            if server.row.server_id not in self._tried_server_ids
        ]
        preferred_servers = untried_servers or reachable_servers
        return [
            server for server in preferred_servers if server.suspended_until_s <= now_s
        ] or preferred_servers

    def _reachable_servers(self, now_s: float) -> list[KnownServer]:
        """Return the servers that can be reached, have a free connection and have not refused.

        ``now_s`` is the present time in seconds.
        """
        request, paths = self._request, self._context.paths
        return [
            server
            for server in self._context.candidates(request.service, request.session, now_s)
            if server.row.server_id not in self._refusing_server_ids
            and not server.pool.is_full
            and not paths.is_unreachable(server.process_id, now_s)
        ]

    def _expected_prompt_s(self, server: KnownServer, model: str) -> float:
        """Return the expected seconds for a server to process the prompt with a model.

        It is 0 without a model, since a plain service processes no prompt.
        """
        if not model:
            return 0.0
        return self._context.response_times.expected_s(
            model, uncached_prompt_tokens(self._request, server, model)
        )
