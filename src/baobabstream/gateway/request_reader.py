"""Parses a caller's request: finds its route and client account, and reads its headers and body.

A route states how the requests to one host name below one path prefix are handled, and a client
account is found by the API key in a header. A session is a series of requests in which a header has
the same value; a request without this header is a session of its own. The fingerprint of a request
is a hash of its content. The parts of a prompt are named in a header, so that the gateway can send
requests whose prompts begin alike to a server that has processed that beginning before.
"""

import asyncio
from collections.abc import Iterator

from aiohttp import web
from xxhash import xxh64

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.routed_request import PromptPart, RoutedRequest
from baobabstream.ingress.request_body import read_body
from baobabstream.routing.document import ClientAccount, Route
from baobabstream.routing.route_table import RouteTable
from baobabstream.routing.stable_hashing import hash_fraction, short_key

__all__ = ["RequestReader"]

# Most prompt parts that are read, which limits the work for one header. Further parts are ignored,
# as parts are only hints on what a server has in its cache.
MAX_PROMPT_PARTS = 64
# Most digits of the number of tokens of one part. The largest prompts have millions of tokens; the
# expected time for a prompt is a 64-bit number in messages to the coordination hosts.
MAX_TOKEN_DIGITS = 9
# Lower-case names of headers that are not forwarded: those that concern one connection only (RFC
# 9110, section 7.6.1), and those by which the gateway states the length of each body anew.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


class RequestReader:
    """Turns HTTP requests into routed requests.

    Parameters
    ----------
    header_names
        Names of the HTTP headers that the gateway reads and writes.
    """

    def __init__(self, header_names: HeaderNames) -> None:
        self._header_names = header_names
        # Lower-case names of callers' headers that are not sent to a server: those of the
        # connection, those that only the gateway may set, and those that it reads and sets anew.
        self._dropped_headers = (
            CONNECTION_HEADERS
            | header_names.owned_by_system
            | {
                name.lower()
                for name in (
                    header_names.time_left_ms,
                    header_names.api_key,
                    header_names.client_account,
                    header_names.expected_server,
                    header_names.urgency,
                    header_names.model,
                    header_names.last_event_id,
                )
            }
        )

        self._text_headers = (
            header_names.request_id,
            header_names.session,
            header_names.model,
            header_names.last_event_id,
            header_names.prompt_parts,
        )

    def find_route(self, request: web.Request, route_table: RouteTable | None) -> Route:
        """Return the route of a request, by its ``Host`` header and path.

        Raises
        ------
        RequestRefused
            ``NO_CONFIGURATION`` before the first configuration (``route_table`` is None),
            ``UNKNOWN_ROUTE`` if no route matches.
        """
        if route_table is None:
            raise RequestRefused(ResultCode.NO_CONFIGURATION)
        route = route_table.find_route(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            raise RequestRefused(ResultCode.UNKNOWN_ROUTE)
        return route

    def authenticate(
        self, request: web.Request, route: Route, route_table: RouteTable
    ) -> ClientAccount | None:
        """Return the client account of a request, or None if it has none and needs none.

        It needs none if the configuration has no client accounts or the route allows requests
        without a key.

        Raises
        ------
        RequestRefused
            ``UNAUTHENTICATED`` if the key is unknown and the route requires one.
        """
        if not route_table.requires_api_key:
            return None
        account = route_table.find_account(request.headers.get(self._header_names.api_key, ""))
        if account is None and not route.allows_anonymous:
            raise RequestRefused(ResultCode.UNAUTHENTICATED)
        return account

    async def read(
        self,
        request: web.Request,
        route: Route,
        account: ClientAccount | None,
        arrived_s: float,
        max_body_bytes: int,
    ) -> RoutedRequest:
        """Read the body and headers of a request whose route is known.

        Parameters
        ----------
        request
            The caller's HTTP request.
        route, account
            Its route and client account.
        arrived_s
            Time of its arrival in seconds.
        max_body_bytes
            Limit on the size of the body.

        Raises
        ------
        RequestRefused
            ``MALFORMED_HEADER`` if the request has no identity, an invalid time that is left, a
            prompt part of too many tokens, or bytes that are no text in a header that the gateway
            reads,
            as `read_body` if the body cannot be read until the request's deadline.
        """
        header_names, headers = self._header_names, request.headers
        self._require_text(request)
        request_id = headers.get(header_names.request_id, "")
        if not request_id:
            raise RequestRefused(ResultCode.MALFORMED_HEADER, "the request has no identity")
        prompt_parts = self._prompt_parts(request)
        deadline_s = arrived_s + min(self._time_left_s(request, route), route.timeout_s)
        loop = asyncio.get_running_loop()
        body = await read_body(request, max_body_bytes, deadline_s - loop.time())
        account_name = account.name if account is not None else ""
        session = headers.get(header_names.session, "")
        # Start of the text whose hash is the fingerprint. It leaves out the headers, which may
        # differ when the request is sent again.
        content_head = f"{request.method} {request.raw_path} {account_name} ".encode()
        fingerprint = xxh64(content_head)
        fingerprint.update(body)
        return RoutedRequest(
            request_id=request_id,
            method=request.method,
            target=request.raw_path,
            headers=tuple(self._forwarded_headers(request)),
            body=body,
            route=route,
            account=account,
            service=_choose_service(route, session or request_id),
            session=session or request_id,
            model=headers.get(header_names.model, ""),
            prompt_parts=prompt_parts,
            prompt_tokens=sum(part.tokens for part in prompt_parts),
            last_event_id=headers.get(header_names.last_event_id, ""),
            arrived_s=arrived_s,
            deadline_s=deadline_s,
            fingerprint=fingerprint.hexdigest(),
        )

    def _require_text(self, request: web.Request) -> None:
        """Raise ``MALFORMED_HEADER`` if a header that the gateway reads is not UTF-8.

        The HTTP server decodes other bytes as surrogates, which cannot be hashed or logged.
        """
        for name in self._text_headers:
            try:
                request.headers.get(name, "").encode()
            except UnicodeEncodeError as error:
                detail = f"{name} is not UTF-8"
                raise RequestRefused(ResultCode.MALFORMED_HEADER, detail) from error

    def _forwarded_headers(self, request: web.Request) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each of the caller's headers that is sent on to a server.

        The ``Connection`` header names further headers that concern the connection only.
        """
        connection_header = request.headers.get("Connection", "").lower()
        hop_by_hop_names = {name.strip() for name in connection_header.split(",")}
        for name, value in request.headers.items():
            lower_name = name.lower()
            if lower_name not in self._dropped_headers and lower_name not in hop_by_hop_names:
                yield name, value

    def _prompt_parts(self, request: web.Request) -> tuple[PromptPart, ...]:
        """Return the prompt parts in a header, ``identity:tokens`` separated by commas.

        ``tokens`` is the number of tokens of the part. Parts without one are skipped, as parts are
        only hints.

        Raises
        ------
        RequestRefused
            ``MALFORMED_HEADER`` if a number has more than ``MAX_TOKEN_DIGITS`` digits.
        """
        header = self._header_names.prompt_parts
        parts = request.headers.get(header, "").split(",")[:MAX_PROMPT_PARTS]
        split_parts = (part.strip().partition(":") for part in parts)
        numbered_parts = [
            (part_id, tokens)
            for part_id, _, tokens in split_parts
            # isdigit alone is also true for digits such as superscripts, which int does not read.
            if part_id and tokens.isascii() and tokens.isdigit()
        ]
        if any(len(tokens) > MAX_TOKEN_DIGITS for _, tokens in numbered_parts):
            detail = f"{header} has a part of more than {MAX_TOKEN_DIGITS} digits"
            raise RequestRefused(ResultCode.MALFORMED_HEADER, detail)
        return tuple(
            PromptPart(short_key(part_id), int(tokens)) for part_id, tokens in numbered_parts
        )

    def _time_left_s(self, request: web.Request, route: Route) -> float:
        """Return the seconds for which the caller will wait, by default the route's timeout.

        Raises
        ------
        RequestRefused
            ``MALFORMED_HEADER`` if the header, a time in milliseconds, is not a number.
        """
        time_left_ms = request.headers.get(self._header_names.time_left_ms)
        if time_left_ms is None:
            return route.timeout_s
        try:
            return max(0.0, float(time_left_ms) / 1000)
        except ValueError as error:
            detail = f"{self._header_names.time_left_ms} is not a number"
            raise RequestRefused(ResultCode.MALFORMED_HEADER, detail) from error


def _choose_service(route: Route, session: str) -> str:
    """Return a service of a route by weight; the same one for all requests of a session.

    The weights of the services follow each other on a line from 0 to their sum. A hash of route and
    session, scaled to that range, is a point on it; the service whose weight covers it is chosen.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total_weight = sum(share.weight for share in route.shares)
    remaining_weight = hash_fraction(f"{route.name}/{session}") * total_weight
    for share in route.shares:
        remaining_weight -= share.weight
        if remaining_weight < 0:
            return share.service
    # Reached only if rounding leaves a remainder: the last service that has any weight.
    return next(share.service for share in reversed(route.shares) if share.weight > 0)
