"""Consistency checks between the parts of a routing configuration.

A route names the services that its requests go to, each with a weight that is proportional to the
requests that it gets; such a pair of service and weight is a share. A client account has API keys,
by which its requests are recognized.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import chain

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.routing.document import RoutingDocument

__all__ = ["check_document"]


def check_document(document: RoutingDocument) -> None:
    """Reject a configuration that is inconsistent.

    Raises
    ------
    RequestRefused
        ``CHANGE_INVALID`` with the first inconsistency found.
    """
    inconsistency = next(_inconsistencies(document), None)
    if inconsistency is not None:
        raise RequestRefused(ResultCode.CHANGE_INVALID, inconsistency)


def _inconsistencies(document: RoutingDocument) -> Iterator[str]:
    """Yield a description of each inconsistency, for the operator who wrote the configuration."""
    service_names = {service.name for service in document.services}
    yield from (
        f"service {name} is named twice"
        for name in _duplicates(service.name for service in document.services)
    )
    for route in document.routes:
        if not route.shares:
            yield f"route {route.name} names no service"
        unknown_share = next(
            (share for share in route.shares if share.service not in service_names), None
        )
        if unknown_share is not None:
            yield f"route {route.name} names the unknown service {unknown_share.service}"
        if any(share.weight < 0 for share in route.shares):
            yield f"route {route.name} has a negative weight"
        if sum(share.weight for share in route.shares) <= 0:
            yield f"the weights of route {route.name} add up to 0"
        if route.timeout_s <= 0:
            yield f"the timeout of route {route.name} is not positive"
    # The route of a request is found by host name and path prefix, so the pair must be unique.
    hosts_and_prefixes = ((route.host, route.path_prefix) for route in document.routes)
    yield from (
        f"two routes share host and prefix {host_and_prefix}"
        for host_and_prefix in _duplicates(hosts_and_prefixes)
    )
    # The account of a request is found by its key. The key is a secret, so it is not named.
    api_keys = chain.from_iterable(account.api_keys for account in document.accounts or ())
    yield from ("two client accounts share a key" for _ in _duplicates(api_keys))


def _duplicates(items: Iterable) -> list:
    """Return the items that occur more than once, each of them once."""
    return [item for item, count in Counter(items).items() if count > 1]
