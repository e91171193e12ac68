"""State machine of the control hosts."""

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

DIGEST = sha256(b"key").hexdigest()
VERSIONS = (VersionRow("small", "1", 1.0), VersionRow("small", "2", 1.0))
ROLLOUT = RolloutRow("r", "small", "1", "2")
LOADING, RUNNING = RolloutState.LOADING, RolloutState.RUNNING


def put(target: ConfigState, *rows: ConfigRow, change_id: str = "", delete=()):
    revision = target.operator_revision
    name = change_id or f"change-{target.revision}-{len(target.accepted.changes)}"
    return target.apply(ConfigChange(name, "op", revision, rows, tuple(delete)))


def configured(*rows: ConfigRow) -> ConfigState:
    target = ConfigState()
    outcome = put(target, *VERSIONS, *rows)
    assert outcome.code is ResultCode.OK, outcome.detail
    return target


def claim(action=ClaimAction.CLAIM, request_id="r1", body="b", incarnation=1, answer=b""):
    request = ClaimRequest(
        action, "desk", "key", body, request_id, "entry-1", 200, answer, "", incarnation
    )
    return UpdateClaim(request, 1000)


def trial(fingerprint: str, request_id: str = "", now_ms: int = 0) -> StartTrial:
    name = request_id or f"r{fingerprint}"
    return StartTrial(TrialRequest(fingerprint, name, "h", ("e1", "e2")), now_ms)


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
    """Guards against a change that is accepted although an entry could not act on it."""
    target = configured()
    before = target.snapshot()
    assert_that(put(target, ClassRow("good", 0.9, 1, 2), row).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(target.snapshot(), Equals(before))


def test_rows_in_use_are_not_deleted() -> None:
    """Guards against a configuration that refers to rows that do not exist."""
    target = configured(
        ClassRow("c", 0.9, 1, 2), AccountRow("desk", DIGEST, ("small@1",), default_class="c")
    )
    put(target, ROLLOUT)
    for key in ("class/c", "version/small@1", "version/small@2", "rollout/r", "class/absent"):
        assert_that(put(target, delete=(key,)).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put(target, delete=("account/desk", "class/c")).code, Is(ResultCode.OK))


def test_duplicate_api_key_is_refused() -> None:
    """Guards against two accounts that authenticate with one key."""
    target = configured(AccountRow("desk", DIGEST))
    assert_that(put(target, AccountRow("other", DIGEST)).code, Is(ResultCode.CHANGE_INVALID))


def test_withdrawal_is_final() -> None:
    """Guards against a withdrawn version that comes back by a change, activation or deletion."""
    target = configured()
    withdraw = ControlVersion("w", "op", "small", "2", VersionAction.WITHDRAW, "bad")
    activate = ControlVersion("a", "op", "small", "2", VersionAction.ACTIVATE)
    assert_that(target.apply(withdraw).code, Is(ResultCode.OK))
    assert_that(target.apply(activate).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put(target, VERSIONS[1]).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put(target, delete=("version/small@2",)).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put(target, ROLLOUT).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(target.apply(withdraw).revision, Equals(2))


def test_new_cost_does_not_revive_a_stopped_version() -> None:
    """Guards against a change of another field that undoes a stop on evidence."""
    target = configured()
    target.apply(SetVersionState("small", "2", VersionState.STOPPED, "errors"))
    put(target, VersionRow("small", "2", 3.0))
    row = target.row("version/small@2")
    assert_that((row.cost_per_1k_tokens, row.state), Equals((3.0, VersionState.STOPPED)))


def test_stop_of_new_version_returns_traffic() -> None:
    """Guards against a rollout that keeps its share on a version found bad."""
    target = configured()
    put(target, ROLLOUT)
    target.apply(AdvanceRollout("r", LOADING, 0, RUNNING, 0, 0.05))
    target.apply(SetVersionState("small", "2", VersionState.STOPPED, "errors"))
    row = target.row("rollout/r")
    assert_that((row.state, row.share), Equals((RolloutState.STOPPED, 0.0)))
    late = AdvanceRollout("r", RUNNING, 0, RUNNING, 1, 0.25)
    assert_that(target.apply(late).code, Is(ResultCode.REVISION_CONFLICT))


def test_pause_resume_and_withdrawal_of_a_rollout() -> None:
    """Guards against a pause that loses the step and a resume of a withdrawn rollout."""
    target = configured()
    put(target, ROLLOUT)
    target.apply(AdvanceRollout("r", LOADING, 0, RUNNING, 1, 0.25))
    target.apply(ControlRollout("1", "op", "r", RolloutAction.PAUSE))
    stale = AdvanceRollout("r", RUNNING, 1, RUNNING, 2, 0.5)
    assert_that(target.apply(stale).code, Is(ResultCode.REVISION_CONFLICT))
    target.apply(ControlRollout("2", "op", "r", RolloutAction.RESUME))
    row = target.row("rollout/r")
    assert_that((row.state, row.step, row.share), Equals((RUNNING, 1, 0.25)))
    target.apply(ControlRollout("3", "op", "r", RolloutAction.WITHDRAW))
    resume = ControlRollout("4", "op", "r", RolloutAction.RESUME)
    assert_that(target.apply(resume).code, Is(ResultCode.CHANGE_INVALID))
    assert_that(put(target, RolloutRow("again", "small", "1", "2")).code, Is(ResultCode.OK))
    assert_that(target.row("rollout/r"), Is(None))


def test_resend_gives_first_outcome_and_race_has_one_winner() -> None:
    """Guards against a change applied twice and two changes accepted at one revision."""
    target = ConfigState()
    first = ConfigChange("a", "op", 0, (ClassRow("c", 0.9, 1, 2),))
    outcome = target.apply(first)
    racing = ConfigChange("b", "op", 0, (ClassRow("c", 0.8, 1, 2),))
    assert_that(target.apply(racing).code, Is(ResultCode.REVISION_CONFLICT))
    put(target, ClassRow("d", 0.9, 1, 2))
    assert_that(target.apply(first), Equals(outcome))
    other = ConfigChange("a", "op", 0, (ClassRow("c", 0.7, 1, 2),))
    assert_that(target.apply(other).code, Is(ResultCode.CHANGE_ID_REUSED))


def test_claim_is_granted_again_only_if_nothing_was_sent() -> None:
    """Guards against a non-idempotent request that runs twice."""
    target = ConfigState()
    codes = []
    for command in (
        claim(),
        claim(request_id="r2"),
        claim(request_id="r2", body="other"),
        claim(ClaimAction.NOT_RUN),
        claim(),
        claim(request_id="r3"),
    ):
        codes.append(target.apply(command).code)
    expected = [
        ResultCode.OK,
        ResultCode.REQUEST_IN_PROGRESS,
        ResultCode.IDEMPOTENCY_KEY_REUSED,
        ResultCode.OK,
        ResultCode.CLAIM_UNAVAILABLE,
        ResultCode.OK,
    ]
    assert_that(codes, Equals(expected))
    target.apply(EntryGone("entry-1", 1))
    assert_that(target.apply(claim(request_id="r4")).code, Is(ResultCode.OUTCOME_UNKNOWN))
    target.apply(claim(ClaimAction.NOT_RUN, request_id="r3"))
    assert_that(target.apply(claim(request_id="r5")).code, Is(ResultCode.OUTCOME_UNKNOWN))
    target.apply(claim(ClaimAction.FINISH, request_id="r3", answer=b"done"))
    reply = target.apply(claim(request_id="r6")).claim
    assert_that((reply.state, reply.answer), Equals((ClaimState.FINISHED, b"done")))


def test_release_that_overtakes_its_claim() -> None:
    """Guards against a claim that arrives after its owner has given it up and stays open."""
    target = ConfigState()
    target.apply(claim(ClaimAction.NOT_RUN))
    assert_that(target.apply(claim()).code, Is(ResultCode.CLAIM_UNAVAILABLE))
    assert_that(target.apply(claim(request_id="r2")).code, Is(ResultCode.OK))


def test_suspects_quarantine_and_release() -> None:
    """Guards against one loss counted twice, a cleared culprit and a release that is undone."""
    target = ConfigState()
    loss = RecordLoss("engine-1", 1, ("f", "g"), 0)
    assert_that(target.apply(loss).quarantined, Equals(()))
    assert_that(target.apply(loss).quarantined, Equals(()))
    assert_that(target.apply(trial("g")).trial.backend_server, Equals("e1"))
    target.apply(EndTrial(TrialEnd("g", "rg", "h", lost=False, ran=False)))
    assert_that(target.row("quarantine/g").losses, Equals(1))
    target.apply(trial("g"))
    target.apply(EndTrial(TrialEnd("g", "rg", "h", lost=False)))
    assert_that(target.row("quarantine/g"), Is(None))
    target.apply(trial("f"))
    second = RecordLoss("engine-1", 2, ("f",), 0)
    assert_that(target.apply(second).quarantined, Equals(("f",)))
    target.apply(EndTrial(TrialEnd("f", "rf", "h", lost=False)))
    assert_that(target.row("quarantine/f").losses, Equals(2))
    assert_that(target.apply(trial("f")).trial.quarantined, Is(True))
    target.apply(ReleaseFingerprint("x", "op", "f"))
    assert_that(target.row("quarantine/f"), Is(None))
    assert_that(target.apply(RecordLoss("e", 1, ("f",), 0)).quarantined, Equals(()))


def test_trials_are_exclusive_and_expire() -> None:
    """Guards against two suspects on a backend server and a fingerprint on two at once."""
    target = ConfigState()
    servers = [target.apply(trial(name)).trial.backend_server for name in "abc"]
    assert_that(servers, Equals(["e1", "e2", ""]))
    assert_that(target.apply(trial("a", "other")).trial.backend_server, Equals(""))
    assert_that(target.apply(trial("a")).trial.backend_server, Equals("e1"))
    target.apply(EndTrial(TrialEnd("a", "ra", "h", lost=True)))
    assert_that(target.apply(trial("a", "again")).trial.backend_server, Equals(""))
    assert_that(target.apply(trial("c")).trial.backend_server, Equals("e1"))
    target.apply(RecordLoss("e9", 1, ("c",), 0))
    assert_that(target.apply(trial("d")).trial.backend_server, Equals(""))
    still = trial("d", now_ms=TRIAL_DURATION_MS + CLOCK_SKEW_MARGIN_MS - 1)
    assert_that(target.apply(still).trial.backend_server, Equals(""))
    late = trial("d", now_ms=TRIAL_DURATION_MS + CLOCK_SKEW_MARGIN_MS)
    assert_that(target.apply(late).trial.backend_server, Equals("e1"))


def test_memory_is_bounded(monkeypatch) -> None:
    """Guards against growth without limit, and a full claim table that frees a live claim."""
    monkeypatch.setattr(accepted_changes, "MAX_ACCEPTED_CHANGES", 5)
    monkeypatch.setattr(claims, "MAX_CLAIMS", 3)
    monkeypatch.setattr(claims, "MAX_ANSWERS_BYTES", 10)
    monkeypatch.setattr(losses, "MAX_FINGERPRINTS", 4)
    monkeypatch.setattr(state, "MAX_TOMBSTONES", 2)
    monkeypatch.setattr(state, "MAX_DEPARTED_BACKEND_SERVERS", 3)
    target = ConfigState()
    codes = []
    for index in range(10):
        put(target, ClassRow(f"c{index}", 0.9, 1, 2), change_id=f"p{index}")
        put(target, delete=(f"class/c{index}",), change_id=f"d{index}")
        target.apply(RecordLoss("e", index, (f"f{index}",), 0))
        target.apply(BackendLeft(f"e{index}", 1))
        key = ClaimRequest(ClaimAction.CLAIM, "desk", f"k{index}", "b", "r", "h")
        codes.append(target.apply(UpdateClaim(key, 1000 + index)).code)
        done = ClaimRequest(
            ClaimAction.FINISH, "desk", f"k{index}", "b", "r", "h", 200, b"12345", "text/plain"
        )
        target.apply(UpdateClaim(done, 1000 + index))
    dropped = (ClaimState.FINISHED, b"", "")
    assert_that(codes[2:4], Equals([ResultCode.OK, ResultCode.CLAIM_UNAVAILABLE]))
    assert_that(target.accepted.changes, HasLength(5))
    assert_that(target.claims.answers_bytes, LessThan(11))
    first = next(iter(target.claims.claims.values()))
    assert_that((first.state, first.answer, first.content_type), Equals(dropped))
    assert_that(target.losses.losses, HasLength(4))
    assert_that(target.departed, HasLength(3))
    assert_that(len(target.rows), LessThan(10))
    assert_that(target.rows_complete(0), Is(True))
    later = UpdateClaim(key, 2000 + CLAIM_RETENTION_MS)
    assert_that(target.apply(later).code, Is(ResultCode.OK))
    assert_that(target.claims.claims, HasLength(1))


def test_replay_and_snapshot_give_the_same_state() -> None:
    """Guards against control hosts that diverge, and against a snapshot that loses a part."""
    random = Random(5)
    one, two, restored = ConfigState(), ConfigState(), ConfigState()
    for index in range(400):
        command = _random_command(random, index, one.operator_revision)
        if index == 200:
            restored.restore(one.snapshot())
        assert_that(one.apply(command), Equals(two.apply(command)))
        if index >= 200:
            restored.apply(command)
    assert_that(restored.snapshot(), Equals(one.snapshot()))
    assert_that(two.snapshot(), Equals(one.snapshot()))


def _random_command(random: Random, index: int, base_revision: int) -> Command:
    version = str(random.randrange(3))
    name = f"r{random.randrange(2)}"
    row = random.choice(
        [
            ClassRow("c", random.random(), 1.0, 2.0),
            VersionRow("small", version, 1.0),
            RolloutRow(name, "small", "0", version),
        ]
    )
    state_names = list(RolloutState)
    return random.choice(
        [
            ConfigChange(f"c{index}", "op", base_revision, (row,)),
            ControlVersion(f"v{index}", "op", "small", version, random.choice(list(VersionAction))),
            ControlRollout(f"o{index}", "op", name, random.choice(list(RolloutAction))),
            AdvanceRollout(name, random.choice(state_names), 0, random.choice(state_names), 0, 0.5),
            claim(random.choice(list(ClaimAction)), f"q{random.randrange(3)}"),
            EntryGone("entry-1", 1),
            RecordLoss("e", random.randrange(3), (f"f{random.randrange(3)}",), 0),
            trial(f"f{random.randrange(3)}", random.choice("pq"), now_ms=100 * index),
            EndTrial(TrialEnd(f"f{random.randrange(3)}", "p", "h", random.random() < 0.5)),
            BackendLeft("e", random.randrange(3)),
        ]
    )
