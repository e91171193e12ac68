"""Tests which configurations are rejected, and how routes and accounts are found."""

import pytest

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.routing.document import ClientAccount, ServiceShare
from baobabstream.routing.document_checks import check_document
from baobabstream.routing.route_table import RouteTable
from routing.routing_fixtures import make_document, make_route


@pytest.mark.parametrize(
    "document",
    [
        make_document(make_route(shares=(ServiceShare("nobody", 1.0),))),
        make_document(make_route(), make_route(name="other")),
        make_document(make_route(shares=(ServiceShare("app", 0.0), ServiceShare("engine", 0.0)))),
        make_document(make_route(timeout_s=0.0)),
        make_document(make_route(shares=())),
        make_document(accounts=(ClientAccount("a", ("k",)), ClientAccount("b", ("k",)))),
    ],
    ids=[
        "unknown service",
        "same host and prefix",
        "no weight",
        "no timeout",
        "no service",
        "shared key",
    ],
)
def test_inconsistent_configuration_is_rejected(document):
    """Guards against putting a configuration in force that contradicts itself."""
    with pytest.raises(RequestRefused) as caught:
        check_document(document)
    assert caught.value.code is ResultCode.CHANGE_INVALID


def test_valid_configuration_is_accepted():
    """Guards against rejecting a valid configuration."""
    check_document(make_document(make_route(), make_route(path_prefix="/a/b/")))


@pytest.mark.parametrize(
    ("path", "expected_prefix"),
    [("/a/x", "/a/"), ("/a/b/x?q=/a/c/", "/a/b/"), ("/a/b", "/a/"), ("/c/", None), ("/a", None)],
)
def test_longest_prefix_wins(path, expected_prefix):
    """Guards against assigning a request to the route of a shorter prefix."""
    route_table = RouteTable(make_document(make_route(), make_route(path_prefix="/a/b/")))
    route = route_table.find_route("DESK.example:80", path)
    assert (route.path_prefix if route else None) == expected_prefix


def test_key_identifies_its_client_account():
    """Guards against one client account acting for another."""
    route_table = RouteTable(make_document())
    assert route_table.find_account("key").name == "desk"
    assert route_table.find_account("") is None
