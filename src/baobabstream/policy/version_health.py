"""Finds versions that have become worse than the version they replace.

A model has versions; a rollout replaces one by a new one. Each version has a sequential test (see
``change_test``) per kind of result: errors and bad ratings. The test compares the rate of bad
results with a reference rate, which comes from the baseline, the version that was replaced, or from
the version's own history. A test crosses when its sum of log-likelihood ratios reaches the limit. A
run of a test is the time since its sum was last zero; the onset is the start of the run, an
estimate of when the version became worse. The rise is the amount by which the rate of bad results
exceeds the reference rate. Before a crossing becomes a verdict, that is a finding that the version
is bad, the results of the other versions are checked, since a fault that they share, such as a bad
network, is not the fault of one version. Times are on the caller's clock, in seconds. The rating
service rates answers good or bad.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from math import inf, log, sqrt

from baobabstream.policy.change_test import (
    RATE_RISES,
    ChangeTest,
    Counts,
    ReferenceRate,
    log_likelihood_ratio,
)
from baobabstream.wire.messages import VersionEvidence

__all__ = ["HealthVerdict", "VersionHealth"]

# Runs of the tests that start in one rollout: each starts with one of about 1,000 bad answers
# among 10,000, and the tests for three rises and two kinds of result mostly cross together.
RUNS_PER_ROLLOUT = 1500
# Without a baseline a version's first results enter its reference at once. With fewer of them the
# reference can be so low by chance that the test never returns to zero.
INITIAL_REFERENCE_RESULTS = 300
# Results of the baseline from which it serves as the reference; below, the version's own history.
MIN_BASELINE_RESULTS = 100
# Age up to which results of other versions count as recent.
RECENT_S = 20.0
# A shared fault is assumed when the rate of bad results of the other versions exceeds their
# expected rate by this many standard deviations, and at least by this share of the results.
SHARED_FAULT_DEVIATIONS = 4.0
MIN_SHARED_FAULT_RISE = 0.05
MIN_SHARED_FAULT_RESULTS = 8
# Shortest time between two checks of one stream (results of one kind of one version) for a shared
# fault.
CHECK_INTERVAL_S = 0.5
# A crossing waits for results of other versions; the longer, the weaker evidence is accepted that
# they are healthy. Pairs of seconds since the crossing and the largest log-likelihood ratio of a
# shared rise.
ATTRIBUTION_STEPS = ((0.0, -3.0), (5.0, -2.0), (12.0, 0.0))
# Time for which a shared fault keeps a test at zero.
SHARED_FAULT_PAUSE_S = 10.0
# Log-likelihood ratio of a shared rise at which a crossed test restarts from zero.
SHARED_LOG_LIKELIHOOD_RATIO = 3.0
# Log-likelihood ratio of the other versions' recent results above which a verdict is delayed; it
# exceeds the evidence of one bad result.
MAX_OTHERS_SUM = 2.5
# Fraction of a version's observed rise that a shared fault is assumed to cause in the others.
SHARED_RISE_FRACTION = 0.5
# The last version in service is not stopped within this time after another one was stopped; the
# fault may be shared, and no version would be left to serve.
LAST_VERSION_GUARD_S = 120.0


class _ResultKind(StrEnum):
    """Kind of results; the value appears in the reason of a verdict."""

    ERRORS = "errors"
    RATINGS = "bad ratings"


# Prior of the reference rate per kind: bad results and all results that it counts as.
_PRIORS = {_ResultKind.ERRORS: (0.4, 20.0), _ResultKind.RATINGS: (3.0, 20.0)}


@dataclass(frozen=True, slots=True)
class HealthVerdict:
    """A version that was found bad; ``reason`` states the rates that were compared."""

    model: str
    version: str
    reason: str


@dataclass(slots=True)
class _ResultStream:
    """Test of one kind of result of one version.

    Attributes
    ----------
    kind
        Kind of the results.
    test
        Sequential test of the results.
    reference
        Rate of bad results in the version's own undisturbed service.
    checked_at_s
        Time of the last check for a shared fault.
    paused_until_s
        Time until which a shared fault keeps the test at zero.
    """

    kind: _ResultKind
    test: ChangeTest
    reference: ReferenceRate
    checked_at_s: float = -inf
    paused_until_s: float = -inf


@dataclass(slots=True)
class _VersionRecord:
    """Tests of one version.

    Attributes
    ----------
    model, version
        Names of the model and of the version.
    streams
        Test of each kind of result.
    baseline_version
        Version of the same model that this one replaces, or empty without one.
    stopped_at_s
        Time of the verdict that the version is bad; ``-inf`` without one.
    """

    model: str
    version: str
    streams: dict[_ResultKind, _ResultStream]
    baseline_version: str = ""
    stopped_at_s: float = -inf

    @property
    def is_stopped(self) -> bool:
        """Return whether the version was found bad."""
        return self.stopped_at_s > -inf


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
    enter a reference only when the run of the test that contains them has ended at zero. Tests
    pause while all other versions together are worse than their own references, since such a fault
    is shared; a crossing waits shortly for results of other versions.
    """

    def __init__(self, false_alarm_rate: float = 0.001) -> None:
        # Log-likelihood ratio at which a test crosses.
        self._limit = log(RUNS_PER_ROLLOUT / false_alarm_rate)
        # Records by model and version.
        self._records: dict[tuple[str, str], _VersionRecord] = {}

    def set_baseline(self, model: str, version: str, baseline_version: str) -> None:
        """Set the version of the same model that a version replaces."""
        self._record_of(model, version).baseline_version = baseline_version

    def observe(self, evidence: VersionEvidence, now_s: float) -> None:
        """Add the results of a version since the last call to its tests.

        ``evidence`` holds numbers of successes, errors, good ratings and bad ratings.
        """
        record = self._record_of(evidence.model, evidence.version)
        if evidence.successes or evidence.errors:
            self._add_results(
                record, _ResultKind.ERRORS, evidence.successes, evidence.errors, now_s
            )
        if evidence.rated_good or evidence.rated_bad:
            self._add_results(
                record, _ResultKind.RATINGS, evidence.rated_good, evidence.rated_bad, now_s
            )

    def verdicts(self, now_s: float) -> list[HealthVerdict]:
        """Return versions newly found bad; each version is returned once."""
        found = []
        for record in self._records.values():
            reason = "" if record.is_stopped else self._verdict_reason(record, now_s)
            if reason:
                record.stopped_at_s = now_s
                found.append(HealthVerdict(record.model, record.version, reason))
        return found

    def forget(self, model: str, version: str) -> None:
        """Drop a version's results, for instance when an operator makes it active again."""
        self._records.pop((model, version), None)

    def _record_of(self, model: str, version: str) -> _VersionRecord:
        """Return a version's record, which is created on first use."""
        record = self._records.get((model, version))
        if record is None:
            streams = {
                kind: _ResultStream(kind, ChangeTest(self._limit), ReferenceRate(*_PRIORS[kind]))
                for kind in _ResultKind
            }
            record = _VersionRecord(model, version, streams)
            self._records[model, version] = record
        return record

    def _add_results(
        self, record: _VersionRecord, kind: _ResultKind, good: int, bad: int, now_s: float
    ) -> None:
        """Add results to the test of a version and, when undisturbed, to its reference.

        While a shared fault is assumed, the test is kept at zero and the results enter no
        reference.

        Parameters
        ----------
        record
            The version.
        kind
            Kind of the results.
        good, bad
            Numbers of good and bad results.
        now_s
            Present time in seconds.
        """
        stream = record.streams[kind]
        ended_results = stream.test.observe(
            good, bad, self._test_reference(record, kind).upper_bound(), now_s
        )
        if now_s - stream.checked_at_s >= CHECK_INTERVAL_S:
            stream.checked_at_s = now_s
            if self._is_shared_fault(record, kind, now_s):
                stream.paused_until_s = now_s + SHARED_FAULT_PAUSE_S
        if now_s < stream.paused_until_s:
            stream.test.reset()
        elif self._fills_own_reference(record, stream):
            stream.reference.add(good, bad)
        else:
            stream.reference.add(ended_results.good, ended_results.bad)

    def _fills_own_reference(self, record: _VersionRecord, stream: _ResultStream) -> bool:
        """Return whether new results enter the version's reference at once.

        This holds for the first results of a version that is tested against its own history.
        """
        own_reference = stream.reference
        return (
            own_reference.counts.total < INITIAL_REFERENCE_RESULTS
            and self._test_reference(record, stream.kind) is own_reference
        )

    def _test_reference(self, record: _VersionRecord, kind: _ResultKind) -> ReferenceRate:
        """Return the reference rate that a version's results are tested against.

        It is the baseline's rate, combined with the version's own, if the baseline has enough
        results. Otherwise it is the version's own, or the baseline's while neither has enough.
        """
        baseline = self._records.get((record.model, record.baseline_version))
        if baseline is not None:
            baseline_reference = baseline.streams[kind].reference
            if baseline_reference.counts.total >= MIN_BASELINE_RESULTS:
                return baseline_reference.combined(record.streams[kind].reference)
            if record.streams[kind].reference.counts.total < MIN_BASELINE_RESULTS:
                # At a cold start the prior and the few results of the baseline are a better
                # reference than the version's own results: a bad version would be compared with
                # itself.
                return baseline_reference
        return record.streams[kind].reference

    def _other_streams(self, record: _VersionRecord, kind: _ResultKind) -> Iterator[_ResultStream]:
        """Return the streams of one kind of all other versions.

        Notes
        -----
        A stopped version counts too: when a second version turns bad soon after a stop, the fault
        is probably shared.
        """
        return (other.streams[kind] for other in self._records.values() if other is not record)

    def _others_since(
        self, record: _VersionRecord, kind: _ResultKind, start_s: float
    ) -> tuple[Counts, float]:
        """Return the results of all other versions since a time, and their expected rate.

        The expected rate of bad results is the mean of the versions' own references, weighted by
        their numbers of results; 0 without results. ``start_s`` is the time from which results
        count.
        """
        observed, expected_bad = Counts(), 0.0
        for stream in self._other_streams(record, kind):
            recent = stream.test.results_since(start_s)
            observed.add(recent.good, recent.bad)
            expected_bad += recent.total * stream.reference.mean()
        return observed, expected_bad / observed.total if observed.total else 0.0

    def _is_shared_fault(self, record: _VersionRecord, kind: _ResultKind, now_s: float) -> bool:
        """Return whether the other versions' recent results are worse than expected.

        Their rate of bad results must exceed the expected rate by more than the constants for a
        shared fault allow, and there must be enough results.
        """
        observed, expected_rate = self._others_since(record, kind, now_s - RECENT_S)
        if observed.total < MIN_SHARED_FAULT_RESULTS:
            return False
        rise = observed.bad / observed.total - expected_rate
        deviation = sqrt(expected_rate * (1 - expected_rate) / observed.total)
        return rise > max(MIN_SHARED_FAULT_RISE, SHARED_FAULT_DEVIATIONS * deviation)

    def _verdict_reason(self, record: _VersionRecord, now_s: float) -> str:
        """Return why a version is found bad, or an empty text if it is not.

        Only tests that have crossed by now are looked at.
        """
        for stream in record.streams.values():
            if stream.test.crossed_at_s > now_s:
                continue
            if self._is_own_fault(record, stream, now_s):
                return self._reason(record, stream)
        return ""

    def _is_own_fault(self, record: _VersionRecord, stream: _ResultStream, now_s: float) -> bool:
        """Return whether a crossing is attributed to the version rather than to a shared fault.

        The crossed test restarts from zero when the other versions' results show a shared rise.
        The last version in service is not found bad, see ``_is_last_in_service``. Without any
        results of other versions the fault is the version's own. Otherwise the evidence that the
        others are healthy must be as strong as ``ATTRIBUTION_STEPS`` asks for after the wait so
        far.
        """
        observed, expected_rate = self._others_since(record, stream.kind, stream.test.onset_s)
        recent, _ = self._others_since(record, stream.kind, now_s - RECENT_S)
        if not observed.total and not recent.total:
            return not self._is_last_in_service(record, now_s)
        if self._is_last_in_service(record, now_s):
            return False
        if self._others_max_sum(record, stream, now_s) > MAX_OTHERS_SUM:
            return False
        shared_ratio = self._shared_log_likelihood_ratio(record, stream, observed, expected_rate)
        if shared_ratio >= SHARED_LOG_LIKELIHOOD_RATIO:
            stream.test.reset()
            return False
        waited_s = now_s - stream.test.crossed_at_s
        return any(
            waited_s >= min_wait_s and shared_ratio <= max_ratio
            for min_wait_s, max_ratio in ATTRIBUTION_STEPS
        )

    def _is_last_in_service(self, record: _VersionRecord, now_s: float) -> bool:
        """Return whether another version was stopped lately and no third one has results.

        Lately means within ``LAST_VERSION_GUARD_S``, and only results of the last ``RECENT_S``
        count.
        """
        others = [other for other in self._records.values() if other is not record]
        if not any(now_s - other.stopped_at_s < LAST_VERSION_GUARD_S for other in others):
            return False
        recent_start_s = now_s - RECENT_S
        return not any(
            stream.test.results_since(recent_start_s).total
            for other in others
            if not other.is_stopped
            for stream in other.streams.values()
        )

    def _others_max_sum(self, record: _VersionRecord, stream: _ResultStream, now_s: float) -> float:
        """Return the largest final sum of CUSUM tests on the other versions' recent results.

        There is one test per rise, over the results of all other versions in order of time. The
        reference rate of each version is its own, kept between 0.005 and 0.9, as the log-likelihood
        ratio needs a rate between 0 and 1.

        Notes
        -----
        The results since the onset alone are not enough: a fault that all share may be older than
        the run of this version's test that crossed, and may raise the others' rate by less.
        """
        buckets = [
            # Start, results and base rate of a bucket.
            (bucket_start_s, counts, min(max(other.reference.mean(), 0.005), 0.9))
            for other in self._other_streams(record, stream.kind)
            for bucket_start_s, counts in other.test.buckets_since(now_s - RECENT_S)
        ]
        buckets.sort(key=lambda bucket: bucket[0])
        sums = [0.0] * len(RATE_RISES)
        for _, counts, base_rate in buckets:
            for index, rise in enumerate(RATE_RISES):
                ratio = log_likelihood_ratio(counts.good, counts.bad, base_rate, rise)
                sums[index] = max(0.0, sums[index] + ratio)
        return max(sums)

    def _shared_log_likelihood_ratio(
        self,
        record: _VersionRecord,
        stream: _ResultStream,
        observed: Counts,
        expected_rate: float,
    ) -> float:
        """Return the evidence in the others' results for a rise like this version's.

        The evidence is a log-likelihood ratio: positive if the results fit a shared rise better,
        negative if they fit no rise better, 0 without results. The expected rate is kept between
        0.005 and 0.9, as the ratio needs a rate between 0 and 1.

        Parameters
        ----------
        record
            The version whose test has crossed.
        stream
            Its stream that crossed.
        observed
            Results of the other versions since the onset.
        expected_rate
            Expected rate of bad results among them.

        Notes
        -----
        The tested rises are small. A version that fails nearly every request would wait for many
        good results of the others if these were compared with the smallest rise only. So the
        observed rise counts, in part since a shared fault may affect the others less.
        """
        if not observed.total:
            return 0.0
        base_rate = min(max(expected_rate, 0.005), 0.9)
        pending = stream.test.pending
        observed_rise = pending.bad / pending.total - expected_rate if pending.total else 0.0
        rise = max(stream.test.rise, SHARED_RISE_FRACTION * observed_rise)
        return log_likelihood_ratio(observed.good, observed.bad, base_rate, rise)

    def _reason(self, record: _VersionRecord, stream: _ResultStream) -> str:
        """Return the text that compares a version's recent results with its reference."""
        pending = stream.test.pending
        reference = self._test_reference(record, stream.kind)
        reference_name = record.baseline_version or "its own history"
        return (
            f"{stream.kind}: {pending.bad:.0f} of {pending.total:.0f} recent results, "
            f"expected {reference.mean():.1%} ({reference_name})"
        )
