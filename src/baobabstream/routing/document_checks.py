"""Checks that hold between the parts of a routing configuration."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.routing.document import RoutingDocument

__all__ = ["check_document"]


def check_document(document: RoutingDocument) -> None:
    """Refuse a configuration that cannot be in force.

    Raises
    ------
    RequestRefused
        ``CHANGE_INVALID`` with the first contradiction found.
    """
    problem = next(_problems(document), None)
    if problem is not None:
        raise RequestRefused(ResultCode.CHANGE_INVALID, problem)


def _problems(document: RoutingDocument) -> Iterator[str]:
    services = {service.name for service in document.services}
    yield from (
        f"service {name} is named twice"
        for name in _repeated(service.name for service in document.services)
    )
    for route in document.routes:
        if not route.shares:
            yield f"route {route.name} names no service"
        unknown = next((item for item in route.shares if item.service not in services), None)
        if unknown is not None:
            yield f"route {route.name} names the unknown service {unknown.service}"
        if any(share.weight < 0 for share in route.shares):
            yield f"route {route.name} has a negative weight"
        if sum(share.weight for share in route.shares) <= 0:
            yield f"the weights of route {route.name} add up to 0"
        if route.timeout_s <= 0:
            yield f"the timeout of route {route.name} is 0"
    places = ((route.host, route.path_prefix) for route in document.routes)
    yield from (f"two routes share host and prefix {place}" for place in _repeated(places))
    keys = chain.from_iterable(account.api_keys for account in document.accounts or ())
    yield from ("two client accounts share a key" for _ in _repeated(keys))


def _repeated(items: Iterable) -> list:
    return [item for item, count in Counter(items).items() if count > 1]
