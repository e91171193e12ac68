"""The check of operators' changes finds each kind of violation."""

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from system.operators import ChangeRecord, check_changes

ACCEPTED_CHANGE = ChangeRecord("a", 0, "class/raced", 1.0, ((200, 5), (200, 5)))
REFUSED_CHANGE = ChangeRecord("b", 0, "class/raced", 2.0, ((409, 0),))


class ChangeCheckTest(TestCase):
    """Guards against a check that accepts every history."""

    def test_correct_history_is_accepted(self) -> None:
        self.assertThat(check_changes([ACCEPTED_CHANGE, REFUSED_CHANGE], 1.0), Equals([]))

    def test_two_accepted_changes_of_one_revision_are_found(self) -> None:
        second_accepted = ChangeRecord("b", 0, "class/raced", 2.0, ((200, 6),))
        self.assertThat(check_changes([ACCEPTED_CHANGE, second_accepted], 1.0), HasLength(1))

    def test_resend_with_another_revision_is_found(self) -> None:
        resent = ChangeRecord("a", 0, "class/raced", 1.0, ((200, 5), (200, 6)))
        self.assertThat(check_changes([resent], 1.0), HasLength(1))

    def test_refused_resend_of_an_accepted_change_is_found(self) -> None:
        resent = ChangeRecord("a", 0, "class/raced", 1.0, ((200, 5), (409, 0)))
        self.assertThat(check_changes([resent], 1.0), HasLength(1))

    def test_reverted_change_is_found(self) -> None:
        later_change = ChangeRecord("c", 5, "class/raced", 3.0, ((200, 9),))
        self.assertThat(
            check_changes([ACCEPTED_CHANGE, REFUSED_CHANGE, later_change], 1.0), HasLength(1)
        )
