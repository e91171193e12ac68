"""Tests which configurations are refused and how routes are found."""

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
    ids=["unknown service", "same place", "no weight", "no timeout", "no service", "shared key"],
)
def test_contradictions_are_refused(document):
    """Guards against a configuration in force that cannot be obeyed."""
    with pytest.raises(RequestRefused) as caught:
        check_document(document)
    assert caught.value.code is ResultCode.CHANGE_INVALID


def test_sound_document_passes():
    """Guards against refusing what is valid."""
    check_document(make_document(make_route(), make_route(path_prefix="/a/b/")))


@pytest.mark.parametrize(
    ("path", "prefix"),
    [("/a/x", "/a/"), ("/a/b/x?q=/a/c/", "/a/b/"), ("/a/b", "/a/"), ("/c/", None), ("/a", None)],
)
def test_longest_prefix_wins(path, prefix):
    """Guards against a request on the route of a shorter prefix."""
    table = RouteTable(make_document(make_route(), make_route(path_prefix="/a/b/")))
    route = table.route("DESK.example:80", path)
    assert (route.path_prefix if route else None) == prefix


def test_keys_name_their_account():
    """Guards against one client account acting for another."""
    table = RouteTable(make_document())
    assert table.account("key").name == "desk"
    assert table.account("") is None
