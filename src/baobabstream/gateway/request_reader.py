"""Reads a caller's request: route, client account, limits and what its headers say."""

from collections.abc import Iterator

from aiohttp import web
from xxhash import xxh64_hexdigest

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.routed_request import PromptPart, RoutedRequest
from baobabstream.routing.document import ClientAccount, Route
from baobabstream.routing.route_table import RouteTable
from baobabstream.routing.stable_hashing import hash_place

__all__ = ["RequestReader"]

# Bounds the work for one header; parts beyond it are left out, as they only help.
MAX_PROMPT_PARTS = 64
# Headers of one connection (RFC 9110, section 7.6.1), and the framing that is written anew.
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
    names
        Names of the headers.
    """

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._dropped = (
            CONNECTION_HEADERS
            | names.owned_by_system
            | {
                item.lower()
                for item in (
                    names.time_left_ms,
                    names.api_key,
                    names.client_account,
                    names.expected_server,
                    names.urgency,
                    names.model,
                    names.last_event_id,
                )
            }
        )

    def route_of(self, request: web.Request, route_table: RouteTable | None) -> Route:
        """Return the route of a request.

        Raises
        ------
        RequestRefused
            ``NO_CONFIGURATION`` before the first configuration, ``UNKNOWN_ROUTE`` if none matches.
        """
        if route_table is None:
            raise RequestRefused(ResultCode.NO_CONFIGURATION)
        route = route_table.route(request.headers.get("Host", ""), request.raw_path)
        if route is None:
            raise RequestRefused(ResultCode.UNKNOWN_ROUTE)
        return route

    def account_of(
        self, request: web.Request, route: Route, route_table: RouteTable
    ) -> ClientAccount | None:
        """Return the client account of a request, or None on a route that needs none.

        Raises
        ------
        RequestRefused
            ``UNAUTHENTICATED`` if the key is not known.
        """
        if not route_table.needs_keys:
            return None
        account = route_table.account(request.headers.get(self._names.api_key, ""))
        if account is None and not route.anonymous:
            raise RequestRefused(ResultCode.UNAUTHENTICATED)
        return account

    async def read(
        self, request: web.Request, route: Route, account: ClientAccount | None, arrived_s: float
    ) -> RoutedRequest:
        """Read the body and headers of a request whose route is known.

        Raises
        ------
        RequestRefused
            ``MALFORMED_HEADER`` or ``BODY_TOO_LARGE``.
        """
        names, headers = self._names, request.headers
        request_id = headers.get(names.request_id, "")
        if not request_id:
            raise RequestRefused(ResultCode.MALFORMED_HEADER, "the request has no identity")
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestRefused(ResultCode.BODY_TOO_LARGE) from error
        parts = _prompt_parts(headers.get(names.prompt_parts, ""))
        account_name = account.name if account is not None else ""
        session = headers.get(names.session, "")
        identity = f"{request.method} {request.raw_path} {account_name} ".encode()
        time_left_s = self._time_left_s(request, route)
        return RoutedRequest(
            request_id=request_id,
            method=request.method,
            target=request.raw_path,
            headers=tuple(self._passed_on(request)),
            body=body,
            route=route,
            account=account,
            service=_service_of(route, session or request_id),
            session=session or request_id,
            model=headers.get(names.model, ""),
            prompt_parts=parts,
            prompt_tokens=sum(part.tokens for part in parts),
            last_event_id=headers.get(names.last_event_id, ""),
            arrived_s=arrived_s,
            deadline_s=arrived_s + min(time_left_s, route.timeout_s),
            fingerprint=xxh64_hexdigest(identity + body),
        )

    def _passed_on(self, request: web.Request) -> Iterator[tuple[str, str]]:
        listed = request.headers.get("Connection", "").lower()
        connection_only = {item.strip() for item in listed.split(",")}
        for name, value in request.headers.items():
            lowered = name.lower()
            if lowered not in self._dropped and lowered not in connection_only:
                yield name, value

    def _time_left_s(self, request: web.Request, route: Route) -> float:
        text = request.headers.get(self._names.time_left_ms)
        if text is None:
            return route.timeout_s
        try:
            return max(0.0, float(text) / 1000)
        except ValueError as error:
            detail = f"{self._names.time_left_ms} is not a number"
            raise RequestRefused(ResultCode.MALFORMED_HEADER, detail) from error


def _service_of(route: Route, key: str) -> str:
    """Return the service of a route by weight; the same for the requests of a session."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    place = hash_place(f"{route.name}/{key}") * total
    for share in route.shares:
        place -= share.weight
        if place < 0:
            return share.service
    return next(share.service for share in reversed(route.shares) if share.weight > 0)


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts named in a header; unreadable ones are left out, as they only help."""
    pairs = (item.strip().partition(":") for item in text.split(",")[:MAX_PROMPT_PARTS])
    return tuple(
        PromptPart(part_id, int(tokens))
        for part_id, _, tokens in pairs
        if part_id and tokens.isascii() and tokens.isdigit()
    )
