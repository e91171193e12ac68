"""Configuration state that the control hosts build from the replicated log.

A claim lets one process run a non-idempotent request. A fingerprint identifies requests with equal
content. It is a suspect if such a request ran on a backend server when that failed (a loss); it
then runs only in a trial, and after two losses it is quarantined and does not run. A rollout
replaces one model version by another. A tombstone stays in place of a deleted row.
"""

from hashlib import sha256
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from baobabstream.control import accepted_changes, claims, losses, state
from baobabstream.control.claims import CLAIM_RETENTION_MS
from baobabstream.control.commands import (
    AdvanceRollout,
    BackendLeft,
    Command,
    ConfigChange,
    ControlRollout,
    ControlVersion,
    EndTrial,
    EntryGone,
    RecordLoss,
    ReleaseFingerprint,
    RolloutAction,
    SetVersionState,
    StartTrial,
    UpdateClaim,
    VersionAction,
)
from baobabstream.control.state import ConfigState
from baobabstream.control.trials import CLOCK_SKEW_MARGIN_MS, TRIAL_DURATION_MS
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import (
    ClaimAction,
    ClaimRequest,
    ClaimState,
    TrialEnd,
    TrialRequest,
)
from baobabstream.wire.rows import (
    AccountRow,
    ClassRow,
    ConfigRow,
    RolloutRow,
    RolloutState,
    RouteRow,
    VersionRow,
    VersionState,
)

# Digest of the API key of a client account.
DIGEST = sha256(b"key").hexdigest()
VERSIONS = (VersionRow("small", "1", 1.0), VersionRow("small", "2", 1.0))
ROLLOUT = RolloutRow("r", "small", "1", "2")
LOADING, RUNNING = RolloutState.LOADING, RolloutState.RUNNING


def put_rows(config: ConfigState, *rows: ConfigRow, change_id: str = "", delete=()):
    """Apply an operator change on the present revision; an empty ``change_id`` gets a new one."""
    base_revision = config.operator_revision
    new_change_id = change_id or f"change-{config.revision}-{len(config.accepted.changes)}"
    return config.apply(ConfigChange(new_change_id, "op", base_revision, rows, tuple(delete)))


def configured_state(*rows: ConfigRow) -> ConfigState:
    """Return a state with two versions of a model and further rows."""
    config = ConfigState()
    outcome = put_rows(config, *VERSIONS, *rows)
    assert outcome.code is ResultCode.OK, outcome.detail
    return config


def claim_command(action=ClaimAction.CLAIM, request_id="r1", body="b", incarnation=1, answer=b""):
    """Return a claim command of the process ``entry-1`` for one idempotency key.

    ``body`` is the digest of the request's body.
    """
    claim_request = ClaimRequest(
        action, "desk", "key", body, request_id, "entry-1", 200, answer, "", incarnation
    )
    # The time of the claim: 1,000 ms after the Unix epoch.
    return UpdateClaim(claim_request, 1000)


def trial_command(fingerprint: str, request_id: str = "", now_ms: int = 0) -> StartTrial:
    """Return a request for a trial on backend servers ``e1`` and ``e2`` at ``now_ms``.

    The request identity is ``r`` and the fingerprint unless one is given.
    """
    trial_request_id = request_id or f"r{fingerprint}"
    return StartTrial(TrialRequest(fingerprint, trial_request_id, "h", ("e1", "e2")), now_ms)


@pytest.mark.parametrize(
    "row",
    [
        AccountRow("desk", "short"),
        AccountRow("desk", DIGEST, models=("absent",)),
        AccountRow("desk", DIGEST, default_class="absent"),
        AccountRow("a/b", DIGEST),
        AccountRow("desk", DIGEST, share=float("nan")),
        ClassRow("c", float("nan"), 1, 2),
        ClassRow("c", 0.9, 1, float("inf")),
        VersionRow("small@1", "1", 1.0),
        VersionRow("small", "3", -1.0),
        RolloutRow("r", "small", "1", "3"),
        RolloutRow("r", "small", "1", "1"),
        RolloutRow("r", "small", "1", "2", steps=(0.5, 0.5, 1.0)),
        RolloutRow("r", "small", "1", "2", steps=(0.0, 1.0)),
        RolloutRow("r", "small", "1", "2", state=RUNNING, share=1.0),
        RouteRow("x", "s", "/v1/chat/completions"),
        RouteRow("x", "s", "no-slash"),
    ],
)
def test_invalid_rows_are_refused_whole(row: ConfigRow) -> None:
    """Guards against a change that is accepted, or applied in part, with an invalid row."""
    config = configured_state()
    snapshot_before = config.snapshot()
    assert_that(
        put_rows(config, ClassRow("good", 0.9, 1, 2), row).code, Is(ResultCode.CHANGE_INVALID)
    )
    assert_that(config.snapshot(), Equals(snapshot_before))


def test_rows_in_use_are_not_deleted() -> None:
    """Guards against a configuration that refers to rows that do not exist."""
    config = configured_state(
        ClassRow("c", 0.9, 1, 2), AccountRow("desk", DIGEST, ("small@1",), default_class="c")
    )
    put_rows(config, ROLLOUT)
    for key in ("class/c", "version/small@1", "version/small@2", "rollout/r", "class/absent"):
        assert_that(put_rows(config, delete=(key,)).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put_rows(config, delete=("account/desk", "class/c")).code, Is(ResultCode.OK))


def test_duplicate_api_key_is_refused() -> None:
    """Guards against two accounts that authenticate with one key."""
    config = configured_state(AccountRow("desk", DIGEST))
    assert_that(put_rows(config, AccountRow("other", DIGEST)).code, Is(ResultCode.CHANGE_INVALID))


def test_withdrawal_is_final() -> None:
    """Guards against a withdrawn version that comes back by a change, activation or deletion."""
    config = configured_state()
    withdraw_command = ControlVersion("w", "op", "small", "2", VersionAction.WITHDRAW, "bad")
    activate_command = ControlVersion("a", "op", "small", "2", VersionAction.ACTIVATE)
    assert_that(config.apply(withdraw_command).code, Is(ResultCode.OK))
    assert_that(config.apply(activate_command).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put_rows(config, VERSIONS[1]).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put_rows(config, delete=("version/small@2",)).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put_rows(config, ROLLOUT).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(config.apply(withdraw_command).revision, Equals(2))


def test_new_cost_does_not_revive_a_stopped_version() -> None:
    """Guards against a change of another field that undoes the stop of a bad version."""
    config = configured_state()
    config.apply(SetVersionState("small", "2", VersionState.STOPPED, "errors"))
    put_rows(config, VersionRow("small", "2", 3.0))
    row = config.row("version/small@2")
    assert_that((row.cost_per_1k_tokens, row.state), Equals((3.0, VersionState.STOPPED)))


def test_stop_of_new_version_returns_traffic() -> None:
    """Guards against a rollout that keeps its share on a version found bad."""
    config = configured_state()
    put_rows(config, ROLLOUT)
    # From state LOADING and step 0 to state RUNNING, step 0 and a share of 5% of the traffic.
    config.apply(AdvanceRollout("r", LOADING, 0, RUNNING, 0, 0.05))
    config.apply(SetVersionState("small", "2", VersionState.STOPPED, "errors"))
    row = config.row("rollout/r")
    assert_that((row.state, row.share), Equals((RolloutState.STOPPED, 0.0)))
    late_command = AdvanceRollout("r", RUNNING, 0, RUNNING, 1, 0.25)
    assert_that(config.apply(late_command).code, Is(ResultCode.REVISION_CONFLICT))


def test_pause_resume_and_withdrawal_of_a_rollout() -> None:
    """Guards against a pause that loses the step and a resume of a withdrawn rollout."""
    config = configured_state()
    put_rows(config, ROLLOUT)
    config.apply(AdvanceRollout("r", LOADING, 0, RUNNING, 1, 0.25))
    config.apply(ControlRollout("1", "op", "r", RolloutAction.PAUSE))
    stale_command = AdvanceRollout("r", RUNNING, 1, RUNNING, 2, 0.5)
    assert_that(config.apply(stale_command).code, Is(ResultCode.REVISION_CONFLICT))
    config.apply(ControlRollout("2", "op", "r", RolloutAction.RESUME))
    row = config.row("rollout/r")
    assert_that((row.state, row.step, row.share), Equals((RUNNING, 1, 0.25)))
    config.apply(ControlRollout("3", "op", "r", RolloutAction.WITHDRAW))
    resume_command = ControlRollout("4", "op", "r", RolloutAction.RESUME)
    assert_that(config.apply(resume_command).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put_rows(config, RolloutRow("again", "small", "1", "2")).code, Is(ResultCode.OK))
    assert_that(config.row("rollout/r"), Is(None))


def test_resend_gives_first_outcome_and_race_has_one_winner() -> None:
    """Guards against a change applied twice, and two changes accepted on one base revision."""
    config = ConfigState()
    first_change = ConfigChange("a", "op", 0, (ClassRow("c", 0.9, 1, 2),))
    first_outcome = config.apply(first_change)
    racing_change = ConfigChange("b", "op", 0, (ClassRow("c", 0.8, 1, 2),))
    assert_that(config.apply(racing_change).code, Is(ResultCode.REVISION_CONFLICT))
    put_rows(config, ClassRow("d", 0.9, 1, 2))
    assert_that(config.apply(first_change), Equals(first_outcome))
    different_change = ConfigChange("a", "op", 0, (ClassRow("c", 0.7, 1, 2),))
    assert_that(config.apply(different_change).code, Is(ResultCode.CHANGE_ID_REUSED))


def test_claim_is_granted_again_only_if_nothing_was_sent() -> None:
    """Guards against a non-idempotent request that runs twice."""
    config = ConfigState()
    codes = []
    for command in (
        claim_command(),
        claim_command(request_id="r2"),
        claim_command(request_id="r2", body="other"),
        claim_command(ClaimAction.NOT_RUN),
        claim_command(),
        claim_command(request_id="r3"),
    ):
        codes.append(config.apply(command).code)
    expected = [
        ResultCode.OK,
        ResultCode.REQUEST_IN_PROGRESS,
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        ResultCode.OK,
        ResultCode.CLAIM_UNAVAILABLE,
        ResultCode.OK,
    ]
    assert_that(codes, Equals(expected))
    config.apply(EntryGone("entry-1", 1))
    assert_that(config.apply(claim_command(request_id="r4")).code, Is(ResultCode.OUTCOME_UNKNOWN))
    config.apply(claim_command(ClaimAction.NOT_RUN, request_id="r3"))
    assert_that(config.apply(claim_command(request_id="r5")).code, Is(ResultCode.OUTCOME_UNKNOWN))
    config.apply(claim_command(ClaimAction.FINISH, request_id="r3", answer=b"done"))
    reply = config.apply(claim_command(request_id="r6")).claim
    assert_that((reply.state, reply.answer), Equals((ClaimState.FINISHED, b"done")))


def test_release_that_overtakes_its_claim() -> None:
    """Guards against a claim that stays open because it arrives after its owner released it."""
    config = ConfigState()
    config.apply(claim_command(ClaimAction.NOT_RUN))
    assert_that(config.apply(claim_command()).code, Is(ResultCode.CLAIM_UNAVAILABLE))
    assert_that(config.apply(claim_command(request_id="r2")).code, Is(ResultCode.OK))


def test_suspects_quarantine_and_release() -> None:
    """Guards against a loss counted twice, a cleared culprit, and a release without effect."""
    config = ConfigState()
    # Loss of incarnation 1 of engine-1, at the wall time 0 ms, while it ran both fingerprints.
    loss = RecordLoss("engine-1", 1, ("f", "g"), 0)
    assert_that(config.apply(loss).quarantined, Equals(()))
    assert_that(config.apply(loss).quarantined, Equals(()))
    assert_that(config.apply(trial_command("g")).trial.backend_server, Equals("e1"))
    config.apply(EndTrial(TrialEnd("g", "rg", "h", lost=False, ran=False)))
    assert_that(config.row("quarantine/g").losses, Equals(1))
    config.apply(trial_command("g"))
    config.apply(EndTrial(TrialEnd("g", "rg", "h", lost=False)))
    assert_that(config.row("quarantine/g"), Is(None))
    config.apply(trial_command("f"))
    second_loss = RecordLoss("engine-1", 2, ("f",), 0)
    assert_that(config.apply(second_loss).quarantined, Equals(("f",)))
    config.apply(EndTrial(TrialEnd("f", "rf", "h", lost=False)))
    assert_that(config.row("quarantine/f").losses, Equals(2))
    assert_that(config.apply(trial_command("f")).trial.quarantined, Is(True))
    config.apply(ReleaseFingerprint("x", "op", "f"))
    assert_that(config.row("quarantine/f"), Is(None))
    assert_that(config.apply(RecordLoss("e", 1, ("f",), 0)).quarantined, Equals(()))


def test_trials_are_exclusive_and_expire() -> None:
    """Guards against two suspects on one backend server, and one fingerprint on two servers."""
    config = ConfigState()
    granted_servers = [config.apply(trial_command(name)).trial.backend_server for name in "abc"]
    assert_that(granted_servers, Equals(["e1", "e2", ""]))
    assert_that(config.apply(trial_command("a", "other")).trial.backend_server, Equals(""))
    assert_that(config.apply(trial_command("a")).trial.backend_server, Equals("e1"))
    config.apply(EndTrial(TrialEnd("a", "ra", "h", lost=True)))
    assert_that(config.apply(trial_command("a", "again")).trial.backend_server, Equals(""))
    assert_that(config.apply(trial_command("c")).trial.backend_server, Equals("e1"))
    config.apply(RecordLoss("e9", 1, ("c",), 0))
    assert_that(config.apply(trial_command("d")).trial.backend_server, Equals(""))
    early_command = trial_command("d", now_ms=TRIAL_DURATION_MS + CLOCK_SKEW_MARGIN_MS - 1)
    assert_that(config.apply(early_command).trial.backend_server, Equals(""))
    late_command = trial_command("d", now_ms=TRIAL_DURATION_MS + CLOCK_SKEW_MARGIN_MS)
    assert_that(config.apply(late_command).trial.backend_server, Equals("e1"))


def test_memory_is_bounded(monkeypatch) -> None:
    """Guards against growth without limit, and a full claim table that drops a claim too early."""
    monkeypatch.setattr(accepted_changes, "MAX_ACCEPTED_CHANGES", 5)
    monkeypatch.setattr(claims, "MAX_CLAIMS", 3)
    monkeypatch.setattr(claims, "MAX_ANSWERS_BYTES", 10)
    monkeypatch.setattr(losses, "MAX_FINGERPRINTS", 4)
    monkeypatch.setattr(state, "MAX_TOMBSTONES", 2)
    monkeypatch.setattr(state, "MAX_DEPARTED_BACKEND_SERVERS", 3)
    config = ConfigState()
    codes = []
    for index in range(10):
        put_rows(config, ClassRow(f"c{index}", 0.9, 1, 2), change_id=f"p{index}")
        put_rows(config, delete=(f"class/c{index}",), change_id=f"d{index}")
        config.apply(RecordLoss("e", index, (f"f{index}",), 0))
        config.apply(BackendLeft(f"e{index}", 1))
        claim_request = ClaimRequest(ClaimAction.CLAIM, "desk", f"k{index}", "b", "r", "h")
        codes.append(config.apply(UpdateClaim(claim_request, 1000 + index)).code)
        finish_request = ClaimRequest(
            ClaimAction.FINISH, "desk", f"k{index}", "b", "r", "h", 200, b"12345", "text/plain"
        )
        config.apply(UpdateClaim(finish_request, 1000 + index))
    state_without_answer = (ClaimState.FINISHED, b"", "")
    assert_that(codes[2:4], Equals([ResultCode.OK, ResultCode.CLAIM_UNAVAILABLE]))
    assert_that(config.accepted.changes, HasLength(5))
    assert_that(config.claims.answers_bytes, LessThan(11))
    oldest_claim = next(iter(config.claims.claims.values()))
    assert_that(
        (oldest_claim.state, oldest_claim.answer, oldest_claim.content_type),
        Equals(state_without_answer),
    )
    assert_that(config.losses.losses, HasLength(4))
    assert_that(config.departed, HasLength(3))
    assert_that(len(config.rows), LessThan(10))
    assert_that(config.rows_complete(0), Is(True))
    expiring_command = UpdateClaim(claim_request, 2000 + CLAIM_RETENTION_MS)
    assert_that(config.apply(expiring_command).code, Is(ResultCode.OK))
    assert_that(config.claims.claims, HasLength(1))


def test_replay_and_snapshot_give_the_same_state() -> None:
    """Guards against control hosts that diverge, and against a snapshot that loses a part.

    Two states apply the same random commands; a third starts from a snapshot halfway.
    """
    random = Random(5)
    replica, other_replica, restored = ConfigState(), ConfigState(), ConfigState()
    for index in range(400):
        command = _random_command(random, index, replica.operator_revision)
        if index == 200:
            restored.restore(replica.snapshot())
        assert_that(replica.apply(command), Equals(other_replica.apply(command)))
        if index >= 200:
            restored.apply(command)
    assert_that(restored.snapshot(), Equals(replica.snapshot()))
    assert_that(other_replica.snapshot(), Equals(replica.snapshot()))


def _random_command(random: Random, index: int, base_revision: int) -> Command:
    """Return a random command; few names, so that commands affect the same rows and claims."""
    version = str(random.randrange(3))
    rollout_name = f"r{random.randrange(2)}"
    row = random.choice(
        [
            ClassRow("c", random.random(), 1.0, 2.0),
            VersionRow("small", version, 1.0),
            RolloutRow(rollout_name, "small", "0", version),
        ]
    )
    rollout_states = list(RolloutState)
    return random.choice(
        [
            ConfigChange(f"c{index}", "op", base_revision, (row,)),
            ControlVersion(f"v{index}", "op", "small", version, random.choice(list(VersionAction))),
            ControlRollout(f"o{index}", "op", rollout_name, random.choice(list(RolloutAction))),
            AdvanceRollout(
                rollout_name,
                random.choice(rollout_states),
                0,
                random.choice(rollout_states),
                0,
                0.5,
            ),
            claim_command(random.choice(list(ClaimAction)), f"q{random.randrange(3)}"),
            EntryGone("entry-1", 1),
            RecordLoss("e", random.randrange(3), (f"f{random.randrange(3)}",), 0),
            trial_command(f"f{random.randrange(3)}", random.choice("pq"), now_ms=100 * index),
            EndTrial(TrialEnd(f"f{random.randrange(3)}", "p", "h", random.random() < 0.5)),
            BackendLeft("e", random.randrange(3)),
        ]
    )
