"""Tests the evidence that an entry collects for the leader."""

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is

from baobabstream.membership.evidence import URGENT_BAD_RESULTS, EvidenceCollector


def test_failed_batch_keeps_its_number_and_content() -> None:
    """Guards against results that are lost with a failed poll, or counted twice."""
    collector = EvidenceCollector()
    collector.record_success("m", "1")
    first = collector.next_batch()
    collector.record_rating("m", "1", True)
    second = collector.next_batch()
    assert_that((first.sequence, second.sequence), Equals((1, 2)))
    collector.mark_failed(1)
    assert_that(collector.next_batch(), Equals(first))
    collector.acknowledge(1)
    collector.acknowledge(2)
    assert_that(collector.next_batch().sequence, Equals(0))


def test_bad_results_are_urgent_at_the_threshold() -> None:
    """Guards against bad results that are not sent before the end of the running poll."""
    collector = EvidenceCollector()
    for _ in range(URGENT_BAD_RESULTS - 1):
        collector.record_error("m", "1")
    assert_that(collector.urgent.is_set(), Is(False))
    collector.record_rating("m", "1", False)
    assert_that(collector.urgent.is_set(), Is(True))
    batch = collector.next_batch()
    assert_that((batch.evidence[0].errors, batch.evidence[0].rated_bad), Equals((2, 1)))
    assert_that(collector.urgent.is_set(), Is(False))
