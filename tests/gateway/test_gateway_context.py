"""Tests which versions of a service may run a request during a rollout."""

from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState
from routing.routing_fixtures import make_announcement

ROLLOUT = RolloutRow("app", "v1", "v2", RolloutState.IN_PROGRESS, 0.0)


def candidate_ids(context: GatewayContext, rollout: RolloutRow | None) -> set[str]:
    """Return the servers that may run some request of 50 sessions."""
    context.rollouts = {} if rollout is None else {"app": rollout}
    sessions = (f"s{n}" for n in range(50))
    return {
        server.row.server_id
        for session in sessions
        for server in context.candidates("app", session, 0.0)
    }


def test_new_version_gets_no_requests_before_its_rollout(context):
    """Guards against requests to servers of a new version that start before its rollout."""
    assert candidate_ids(context, None) == {"old"}
    assert candidate_ids(context, RolloutRow("app", "v1")) == {"old"}


def test_unknown_base_is_every_version_but_the_target(context):
    """Guards against a bad target that gets all requests because no base version is recorded."""
    assert candidate_ids(context, make_rollout(base="")) == {"old"}
    assert candidate_ids(context, make_rollout(base="", state=RolloutState.ROLLED_BACK)) == {"old"}


def test_sessions_are_split_by_the_share(context):
    """Guards against a rollout that moves all sessions or none."""
    assert candidate_ids(context, make_rollout(share=0.5)) == {"old", "new"}
    assert candidate_ids(context, make_rollout(share=1.0)) == {"new"}


def test_rolled_back_version_gets_no_requests_even_if_it_is_the_only_one(context):
    """Guards against falling back to a bad version when no other server is left."""
    context.directory.merge([make_announcement("old", sequence=9, state="gone")], 0.0)
    assert candidate_ids(context, make_rollout(state=RolloutState.ROLLED_BACK)) == set()


def make_rollout(**changes) -> RolloutRow:
    """Return the rollout in progress with some fields replaced."""
    fields = {name: getattr(ROLLOUT, name) for name in RolloutRow.__struct_fields__}
    return RolloutRow(**(fields | changes))
