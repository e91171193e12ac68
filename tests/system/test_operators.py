"""The checker of operator changes finds known bad histories."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from system.operators import ChangeRecord, check_changes

FIRST = ChangeRecord("a", 0, "class/raced", 1.0, ((200, 5), (200, 5)))
LOSER = ChangeRecord("b", 0, "class/raced", 2.0, ((409, 0),))


class ChangeCheckerTest(TestCase):
    """Guards against a checker that accepts every history."""

    def test_good_history(self) -> None:
        self.assertThat(check_changes([FIRST, LOSER], 1.0), Equals([]))

    def test_two_winners_of_one_revision(self) -> None:
        second = ChangeRecord("b", 0, "class/raced", 2.0, ((200, 6),))
        self.assertThat(check_changes([FIRST, second], 1.0), HasLength(1))

    def test_resend_with_another_outcome(self) -> None:
        resent = ChangeRecord("a", 0, "class/raced", 1.0, ((200, 5), (200, 6)))
        self.assertThat(check_changes([resent], 1.0), HasLength(1))

    def test_resend_of_an_accepted_change_is_refused(self) -> None:
        resent = ChangeRecord("a", 0, "class/raced", 1.0, ((200, 5), (409, 0)))
        self.assertThat(check_changes([resent], 1.0), HasLength(1))

    def test_reverted_change(self) -> None:
        later = ChangeRecord("c", 5, "class/raced", 3.0, ((200, 9),))
        self.assertThat(check_changes([FIRST, LOSER, later], 1.0), HasLength(1))
