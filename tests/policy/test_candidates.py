"""Versions that a request of a client account may run on."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals

from baobabstream.policy.candidates import allowed_versions
from baobabstream.policy.events import RequestInfo
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import AccountRow, RowEntry, VersionRow, VersionState, row_key


def view_of(*rows) -> ClusterView:
    """Return a view at revision 1 with the given configuration rows."""
    view = ClusterView()
    view.apply_rows(1, [RowEntry(row_key(row), 1, row) for row in rows])
    return view


class AllowedVersionsTest(TestCase):
    """Guards against work on a version that is not allowed or was withdrawn."""

    def test_only_allowed_active_versions(self) -> None:
        view = view_of(
            AccountRow("desk", "digest", models=("small", "large@2")),
            VersionRow("small", "1", 0.1),
            VersionRow("small", "2", 0.1, state=VersionState.WITHDRAWN),
            VersionRow("large", "1", 1.0),
            VersionRow("large", "2", 1.0),
        )
        rows = allowed_versions(view, RequestInfo("r", "desk", "c"), Random(1))
        version_keys = sorted((row.model, row.version) for row in rows)
        self.assertThat(version_keys, Equals([("large", "2"), ("small", "1")]))
