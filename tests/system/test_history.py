"""The checks of histories find each kind of violation and accept correct histories."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from system.history import (
    CallerRecord,
    EngineRun,
    check_allowed_versions,
    check_answer_texts,
    check_billed_once,
    check_no_attempt_after_departure,
    check_no_run_after_withdrawal,
    check_refused_not_run,
    check_run_at_most_once,
    check_session_versions,
)

RECORD = CallerRecord("m", "desk", "r1", version="1", text="whole", finished=True, session="s")
RUN = EngineRun("engine-1", "r1", "small@1", 100)


class HistoryChecksTest(TestCase):
    """Guards against checks that accept every history."""

    def test_run_on_disallowed_version_is_found(self) -> None:
        self.assertThat(check_allowed_versions([RECORD], [RUN], {"desk": {"small@1"}}), Equals([]))
        self.assertThat(
            check_allowed_versions([RECORD], [RUN], {"desk": {"large@1"}}), HasLength(1)
        )

    def test_run_after_withdrawal_is_found(self) -> None:
        self.assertThat(check_no_run_after_withdrawal([RUN], "small@1", 100), Equals([]))
        self.assertThat(check_no_run_after_withdrawal([RUN], "small@1", 99), HasLength(1))

    def test_attempt_after_departure_is_found(self) -> None:
        self.assertThat(
            check_no_attempt_after_departure([RUN], {"engine-1": 50, "engine-2": 0}, 50), Equals([])
        )
        self.assertThat(check_no_attempt_after_departure([RUN], {"engine-1": 50}, 49), HasLength(1))

    def test_second_version_in_a_session_is_found(self) -> None:
        other_version = CallerRecord("n", "desk", "r2", version="2", finished=True, session="s")
        self.assertThat(check_session_versions([RECORD, RECORD]), Equals([]))
        self.assertThat(check_session_versions([RECORD, other_version]), HasLength(1))

    def test_wrong_bill_count_is_found(self) -> None:
        refused = CallerRecord("n", "desk", "r2", run_state="no")
        self.assertThat(check_billed_once([RECORD, refused], ["r1"]), Equals([]))
        self.assertThat(check_billed_once([RECORD], []), HasLength(1))
        self.assertThat(check_billed_once([RECORD], ["r1", "r1"]), HasLength(1))
        self.assertThat(check_billed_once([refused], ["r2"]), HasLength(1))

    def test_wrong_answer_text_is_found(self) -> None:
        self.assertThat(check_answer_texts([RECORD], lambda _: "whole"), Equals([]))
        self.assertThat(check_answer_texts([RECORD], lambda _: "whole answer"), HasLength(1))

    def test_run_of_refused_request_is_found(self) -> None:
        refused = CallerRecord("n", "desk", "r1", run_state="no")
        self.assertThat(check_refused_not_run([RECORD], [RUN]), Equals([]))
        self.assertThat(check_refused_not_run([refused], [RUN]), HasLength(1))

    def test_repeated_run_is_found(self) -> None:
        self.assertThat(check_run_at_most_once(["k1", "k2"]), Equals([]))
        self.assertThat(check_run_at_most_once(["k1", "k1"]), HasLength(1))
