"""Tests which paths count as lost, and when they count as restored."""

from baobabstream.paths.server_paths import ServerPaths


def test_path_is_lost_for_one_server_only_while_others_are_reached():
    """Guards against all requests taking a detour as one server is cut off from this host."""
    paths = ServerPaths()
    paths.record_lost("a.1", 1.0)
    paths.record_direct("b.1", 2.0)
    paths.record_lost("c.1", 3.0)
    assert [paths.needs_tunnel(server) for server in ("a.1", "b.1", "c.1")] == [True, False, True]
    assert not paths.is_isolated


def test_gateway_that_loses_several_paths_takes_all_to_be_lost():
    """Guards against a wait for each server in turn while no server can be reached."""
    paths = ServerPaths()
    paths.record_direct("a.1", 0.5)
    paths.record_lost("a.1", 1.0)
    assert not paths.needs_tunnel("b.1")
    paths.record_lost("c.1", 1.1)
    assert paths.needs_tunnel("b.1")


def test_gateway_that_reaches_a_server_is_not_isolated():
    """Guards against detours to all servers while the paths to some of them are there."""
    paths = ServerPaths()
    paths.record_lost("a.1", 1.0)
    paths.record_lost("b.1", 1.0)
    assert paths.record_direct("c.1", 2.0)
    assert [paths.needs_tunnel(server) for server in ("a.1", "b.1", "c.1")] == [True, True, False]
    paths.record_lost("d.1", 3.0)
    assert not paths.is_isolated
    paths.record_direct("a.1", 4.0)
    assert paths.lost_servers == ("b.1", "d.1")


def test_servers_that_are_gone_do_not_keep_a_gateway_isolated():
    """Guards against a gateway that probes servers which have left, and never ends its detours."""
    paths = ServerPaths()
    paths.record_lost("a.1", 1.0)
    paths.record_lost("b.1", 1.0)
    paths.forget("a.1")
    assert paths.is_isolated
    paths.forget("b.1")
    assert not paths.is_isolated


def test_server_that_is_silent_for_a_second_stays_in_use():
    """Guards against requests that are refused as their only server pauses for a moment."""
    paths = ServerPaths()
    paths.record_failed("a.1", 1.0)
    paths.record_failed("a.1", 1.9)
    assert not paths.is_unreachable("a.1", 2.0)
    assert paths.is_unreachable("a.1", 3.0)
    paths.record_reached("a.1")
    assert not paths.is_unreachable("a.1", 3.0)
