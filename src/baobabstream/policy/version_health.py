"""Finds versions that have become worse than the version they replace."""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from math import inf, log, sqrt

from baobabstream.policy.change_test import (
    RISES,
    ChangeTest,
    Counts,
    ReferenceRate,
    log_ratio,
)
from baobabstream.wire.messages import VersionEvidence

__all__ = ["HealthVerdict", "VersionHealth"]

# Runs of the tests that start in one rollout: each starts with one of about 1,000 bad answers
# among 10,000, and the three rises and two kinds of result cross mostly together.
RUNS_PER_ROLLOUT = 1500
# Without a baseline a version's first results enter its reference at once; fewer leave a reference
# so low by chance that the test never returns to zero.
LEARNING_RESULTS = 300
# Results of the baseline from which it serves as the reference; below, the version's own history.
MIN_BASELINE_RESULTS = 100
RECENT_S = 20.0
SHARED_DEVIATIONS = 4.0
SHARED_RISE = 0.05
MIN_SHARED_RESULTS = 8
CHECK_INTERVAL_S = 0.5
# A crossing waits for results of other versions; the longer, the weaker evidence is accepted that
# they are healthy. Pairs of seconds since the crossing and the log-likelihood ratio needed.
ATTRIBUTION_STEPS = ((0.0, -3.0), (5.0, -2.0), (12.0, 0.0))
SHARED_HOLD_S = 10.0
SHARED_LOG_RATIO = 3.0
# Evidence of the same rise in the other versions' results, beyond that of one bad result, holds up
# a verdict.
OTHERS_RISEN = 2.5
# Share of a version's rise that a shared fault is taken to cause in the other versions.
LIKE_RISE_SHARE = 0.5
# The last version in service is not stopped so soon after another one; the fault may be shared,
# and nothing would be left to serve.
LAST_VERSION_S = 120.0


class _Kind(StrEnum):
    ERRORS = "errors"
    RATINGS = "bad ratings"


_PRIORS = {_Kind.ERRORS: (0.4, 20.0), _Kind.RATINGS: (3.0, 20.0)}


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """A version whose test has crossed; ``reason`` names the rates compared."""

    model: str
    version: str
    reason: str


@dataclass(slots=True)
class _Stream:
    """One kind of result of one version."""

    kind: _Kind
    test: ChangeTest
    reference: ReferenceRate
    checked_s: float = -inf
    shared_until_s: float = -inf


@dataclass(slots=True)
class _VersionRecord:
    model: str
    version: str
    streams: dict[_Kind, _Stream]
    baseline_version: str = ""
    stopped_s: float = -inf

    @property
    def stopped(self) -> bool:
        """Return whether a verdict was given."""
        return self.stopped_s > -inf


class VersionHealth:
    """Sequential tests on errors and ratings of each version.

    Parameters
    ----------
    false_alarm_rate
        Upper bound of the share of healthy rollouts (of 10,000 answers) that are stopped.

    Notes
    -----
    The reference of a test is the rate of the version that was replaced, frozen once it gets no
    more traffic, or the version's own undisturbed history when there is no such version. Results
    enter a reference only when the run of the test that holds them has ended at zero. Tests pause
    while all other versions together are worse than their own references, since such a fault is
    shared; a crossing waits shortly until results of other versions tell.
    """

    def __init__(self, false_alarm_rate: float = 0.001) -> None:
        self._limit = log(RUNS_PER_ROLLOUT / false_alarm_rate)
        self._records: dict[tuple[str, str], _VersionRecord] = {}

    def set_baseline(self, model: str, version: str, baseline_version: str) -> None:
        """Name the version that a version replaces."""
        self._record(model, version).baseline_version = baseline_version

    def observe(self, evidence: VersionEvidence, now_s: float) -> None:
        """Count results of a version."""
        record = self._record(evidence.model, evidence.version)
        if evidence.successes or evidence.errors:
            self._count(record, _Kind.ERRORS, evidence.successes, evidence.errors, now_s)
        if evidence.rated_good or evidence.rated_bad:
            self._count(record, _Kind.RATINGS, evidence.rated_good, evidence.rated_bad, now_s)

    def verdicts(self, now_s: float) -> list[HealthVerdict]:
        """Return versions newly found bad; each version is returned once."""
        found = []
        for record in self._records.values():
            reason = "" if record.stopped else self._verdict(record, now_s)
            if reason:
                record.stopped_s = now_s
                found.append(HealthVerdict(record.model, record.version, reason))
        return found

    def forget(self, model: str, version: str) -> None:
        """Drop a version, for instance when an operator makes it active again."""
        self._records.pop((model, version), None)

    def _record(self, model: str, version: str) -> _VersionRecord:
        record = self._records.get((model, version))
        if record is None:
            streams = {
                kind: _Stream(kind, ChangeTest(self._limit), ReferenceRate(*_PRIORS[kind]))
                for kind in _Kind
            }
            record = _VersionRecord(model, version, streams)
            self._records[model, version] = record
        return record

    def _count(
        self, record: _VersionRecord, kind: _Kind, good: int, bad: int, now_s: float
    ) -> None:
        stream = record.streams[kind]
        ended = stream.test.observe(good, bad, self._reference(record, kind).upper(), now_s)
        if now_s - stream.checked_s >= CHECK_INTERVAL_S:
            stream.checked_s = now_s
            if self._shared_fault(record, kind, now_s):
                stream.shared_until_s = now_s + SHARED_HOLD_S
        if now_s < stream.shared_until_s:
            stream.test.reset()
        elif self._learns(record, stream):
            stream.reference.add(good, bad)
        else:
            stream.reference.add(ended.good, ended.bad)

    def _learns(self, record: _VersionRecord, stream: _Stream) -> bool:
        own = stream.reference
        return own.counts.total < LEARNING_RESULTS and self._reference(record, stream.kind) is own

    def _reference(self, record: _VersionRecord, kind: _Kind) -> ReferenceRate:
        baseline = self._records.get((record.model, record.baseline_version))
        if baseline is not None:
            reference = baseline.streams[kind].reference
            if reference.counts.total >= MIN_BASELINE_RESULTS:
                return reference.joined(record.streams[kind].reference)
            if record.streams[kind].reference.counts.total < MIN_BASELINE_RESULTS:
                # At a cold start the prior and the few results of the baseline tell more than
                # the version's own, which would make a bad version its own measure.
                return reference
        return record.streams[kind].reference

    def _others(self, record: _VersionRecord, kind: _Kind) -> Iterator[_Stream]:
        """Return the streams of the other versions.

        Notes
        -----
        A stopped version counts too: when a second version turns bad soon after a stop, the fault
        is probably shared.
        """
        return (other.streams[kind] for other in self._records.values() if other is not record)

    def _others_since(
        self, record: _VersionRecord, kind: _Kind, start_s: float
    ) -> tuple[Counts, float]:
        """Return the results of all other versions since a time, and their expected rate."""
        seen, expected_bad = Counts(), 0.0
        for stream in self._others(record, kind):
            recent = stream.test.since(start_s)
            seen.add(recent.good, recent.bad)
            expected_bad += recent.total * stream.reference.mean()
        return seen, expected_bad / seen.total if seen.total else 0.0

    def _shared_fault(self, record: _VersionRecord, kind: _Kind, now_s: float) -> bool:
        seen, expected = self._others_since(record, kind, now_s - RECENT_S)
        if seen.total < MIN_SHARED_RESULTS:
            return False
        rise = seen.bad / seen.total - expected
        deviation = sqrt(expected * (1 - expected) / seen.total)
        return rise > max(SHARED_RISE, SHARED_DEVIATIONS * deviation)

    def _verdict(self, record: _VersionRecord, now_s: float) -> str:
        for stream in record.streams.values():
            if stream.test.crossed_s > now_s:
                continue
            if self._attributed(record, stream, now_s):
                return self._reason(record, stream)
        return ""

    def _attributed(self, record: _VersionRecord, stream: _Stream, now_s: float) -> bool:
        """Return whether a crossing is the version's own fault."""
        seen, expected = self._others_since(record, stream.kind, stream.test.onset_s)
        earlier, _ = self._others_since(record, stream.kind, now_s - RECENT_S)
        if not seen.total and not earlier.total:
            return not self._last_in_service(record, now_s)
        if self._last_in_service(record, now_s):
            return False
        if self._others_risen(record, stream, now_s) > OTHERS_RISEN:
            return False
        ratio = self._shared_log_ratio(record, stream, seen, expected)
        if ratio >= SHARED_LOG_RATIO:
            stream.test.reset()
            return False
        waited_s = now_s - stream.test.crossed_s
        return any(waited_s >= wait_s and ratio <= need for wait_s, need in ATTRIBUTION_STEPS)

    def _last_in_service(self, record: _VersionRecord, now_s: float) -> bool:
        """Return whether another version was stopped lately and no third one has results."""
        others = [other for other in self._records.values() if other is not record]
        if not any(now_s - other.stopped_s < LAST_VERSION_S for other in others):
            return False
        recent_s = now_s - RECENT_S
        return not any(
            stream.test.since(recent_s).total
            for other in others
            if not other.stopped
            for stream in other.streams.values()
        )

    def _others_risen(self, record: _VersionRecord, stream: _Stream, now_s: float) -> float:
        """Return the largest sum of a test on the other versions' recent results.

        Notes
        -----
        The results since the onset alone are not enough: a fault that all share may be older than
        the run of this version's test that crossed, and may raise the others' rate by less.
        """
        buckets = [
            (at_s, counts, min(max(other.reference.mean(), 0.005), 0.9))
            for other in self._others(record, stream.kind)
            for at_s, counts in other.test.buckets_since(now_s - RECENT_S)
        ]
        buckets.sort(key=lambda item: item[0])
        sums = [0.0] * len(RISES)
        for _, counts, base in buckets:
            for index, rise in enumerate(RISES):
                ratio = log_ratio(counts.good, counts.bad, base, rise)
                sums[index] = max(0.0, sums[index] + ratio)
        return max(sums)

    def _shared_log_ratio(
        self, record: _VersionRecord, stream: _Stream, seen: Counts, expected: float
    ) -> float:
        """Return the evidence in others' results for a like rise as this version's.

        Notes
        -----
        The tested rises are small. A version that fails nearly every request would wait for many
        good results of the others if they were held against the smallest rise only, so the rise
        that was seen counts, in part since a shared fault may hit the others less.
        """
        if not seen.total:
            return 0.0
        base = min(max(expected, 0.005), 0.9)
        pending = stream.test.pending
        seen_rise = pending.bad / pending.total - expected if pending.total else 0.0
        rise = max(stream.test.rise, LIKE_RISE_SHARE * seen_rise)
        return log_ratio(seen.good, seen.bad, base, rise)

    def _reason(self, record: _VersionRecord, stream: _Stream) -> str:
        pending = stream.test.pending
        reference = self._reference(record, stream.kind)
        against = record.baseline_version or "its own history"
        return (
            f"{stream.kind}: {pending.bad:.0f} of {pending.total:.0f} recent results, "
            f"expected {reference.mean():.1%} ({against})"
        )
