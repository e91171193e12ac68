"""The checkers find known bad histories and accept good ones."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from system.history import (
    CallerRecord,
    EngineRun,
    check_allowed,
    check_billed_once,
    check_left,
    check_not_run,
    check_run_at_most_once,
    check_sessions,
    check_whole,
    check_withdrawn,
)

RECORD = CallerRecord("m", "desk", "r1", version="1", text="whole", finished=True, session="s")
RUN = EngineRun("engine-1", "r1", "small@1", 100)


class CheckerTest(TestCase):
    """Guards against checkers that accept every history."""

    def test_allowed(self) -> None:
        self.assertThat(check_allowed([RECORD], [RUN], {"desk": {"small@1"}}), Equals([]))
        self.assertThat(check_allowed([RECORD], [RUN], {"desk": {"large@1"}}), HasLength(1))

    def test_withdrawn(self) -> None:
        self.assertThat(check_withdrawn([RUN], "small@1", 100), Equals([]))
        self.assertThat(check_withdrawn([RUN], "small@1", 99), HasLength(1))

    def test_left(self) -> None:
        self.assertThat(check_left([RUN], {"engine-1": 50, "engine-2": 0}, 50), Equals([]))
        self.assertThat(check_left([RUN], {"engine-1": 50}, 49), HasLength(1))

    def test_sessions(self) -> None:
        other = CallerRecord("n", "desk", "r2", version="2", finished=True, session="s")
        self.assertThat(check_sessions([RECORD, RECORD]), Equals([]))
        self.assertThat(check_sessions([RECORD, other]), HasLength(1))

    def test_billed_once(self) -> None:
        refused = CallerRecord("n", "desk", "r2", ran="no")
        self.assertThat(check_billed_once([RECORD, refused], ["r1"]), Equals([]))
        self.assertThat(check_billed_once([RECORD], []), HasLength(1))
        self.assertThat(check_billed_once([RECORD], ["r1", "r1"]), HasLength(1))
        self.assertThat(check_billed_once([refused], ["r2"]), HasLength(1))

    def test_whole(self) -> None:
        self.assertThat(check_whole([RECORD], lambda _: "whole"), Equals([]))
        self.assertThat(check_whole([RECORD], lambda _: "whole answer"), HasLength(1))

    def test_not_run(self) -> None:
        refused = CallerRecord("n", "desk", "r1", ran="no")
        self.assertThat(check_not_run([RECORD], [RUN]), Equals([]))
        self.assertThat(check_not_run([refused], [RUN]), HasLength(1))

    def test_at_most_once(self) -> None:
        self.assertThat(check_run_at_most_once(["k1", "k2"]), Equals([]))
        self.assertThat(check_run_at_most_once(["k1", "k1"]), HasLength(1))
