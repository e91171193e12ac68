"""Tests which requests are held responsible for crashes of backend servers."""

import pytest

from baobabstream.routing.crash_attribution import (
    MAX_AMBIGUOUS_CRASHES,
    MAX_SUSPECTS,
    MEMORY_S,
    MIN_CRASHES,
    CrashAttribution,
)


@pytest.fixture
def attribution() -> CrashAttribution:
    """Return an attribution that knows of no crash, and considers each at once."""
    return CrashAttribution(settling_s=0.0)


def crash(
    attribution: CrashAttribution, server: int, crashed_s: float, *requests: str, update=True
) -> None:
    """Record the crash of a server; each request is a text with its keys, separated by spaces."""
    keys_of_requests = [keys.split() for keys in requests]
    attribution.record_crash(f"i-{server}", keys_of_requests, crashed_s, crashed_s)
    if update:
        attribution.update(crashed_s)


def survive(attribution: CrashAttribution, key: str, now_s: float, count: int = 5) -> None:
    """Record some survivals of requests with a key."""
    for _ in range(count):
        attribution.record_survival(key, now_s)
    attribution.update(now_s)


def quarantined(attribution: CrashAttribution, now_s: float) -> set[str]:
    """Return the quarantines in force, each as a text with its keys in order."""
    return {" ".join(sorted(keys)) for keys in attribution.quarantines(now_s)}


def test_part_that_unlike_requests_share_is_quarantined(attribution):
    """Guards against requests that crash server after server as no two of them are alike.

    Each crash also ends sound requests, which share the first part of the prompt with the cause.
    """
    for number in range(MIN_CRASHES):
        crash(
            attribution,
            number,
            number,
            f"common bad r{number}",
            f"common topic{number} s{number}",
            f"other t{number}",
        )
        for key in ("common", "other"):
            survive(attribution, key, number + 0.5)
    assert quarantined(attribution, MIN_CRASHES) == {"bad"}


def test_unlike_requests_that_explain_the_crashes_equally_well_wait_for_the_next(attribution):
    """Guards against refusing sound requests that were running at each crash by chance."""
    for number in range(MIN_CRASHES):
        crash(attribution, number, number, f"bad r{number}", f"topic s{number}")
    assert quarantined(attribution, MIN_CRASHES) == set()
    crash(attribution, MIN_CRASHES, MIN_CRASHES, "bad r9", "s9")
    assert quarantined(attribution, MIN_CRASHES) == {"bad"}


def test_crash_waits_for_the_survivals_of_its_keys():
    """Guards against refusing sound requests before other gateways have told that they survive."""
    attribution = CrashAttribution(settling_s=0.3)
    for number in range(3):
        crash(attribution, number, number, f"topic r{number}")
    assert quarantined(attribution, 2.2) == set()
    survive(attribution, "topic", 2.1)
    attribution.update(2.4)
    assert quarantined(attribution, 2.4) == set()


def test_two_crashes_quarantine_nothing(attribution):
    """Guards against refusing requests that shared two servers with the cause by chance."""
    crash(attribution, 0, 0.0, "common bad r0")
    crash(attribution, 1, 1.0, "common bad r0")
    assert quarantined(attribution, 1.0) == set()


def test_parts_that_always_occur_together_are_quarantined_together(attribution):
    """Guards against refusing all requests with a part that is sound without another one."""
    for number in range(3):
        crash(attribution, number, number, f"topic bad r{number}")
    assert quarantined(attribution, 3.0) == {"bad topic"}
    crash(attribution, 3, 4.0, "bad r3")
    assert quarantined(attribution, 4.0) == {"bad"}


def test_request_sent_again_and_again_is_quarantined_alone(attribution):
    """Guards against refusing the other requests with the parts of a request that crashes servers.

    Its parts may be sound; nothing shows yet that they are the cause.
    """
    for number in range(3):
        crash(attribution, number, number, "common topic r0", f"common s{number}")
        survive(attribution, "common", number + 0.5)
    assert quarantined(attribution, 3.0) == {"r0 topic"}
    survive(attribution, "topic", 4.0)
    attribution.update(4.0)
    assert quarantined(attribution, 4.0) == {"r0"}


def test_common_part_is_not_quarantined_while_all_servers_crash(attribution):
    """Guards against a route that is shut, as no long answer survives while servers crash.

    The common part has survived before and the cause never has, so the cause explains all crashes.
    """
    survive(attribution, "common", 0.0)
    for number in range(MAX_AMBIGUOUS_CRASHES + 3):
        crash(attribution, number, 1 + number * 0.3, f"common bad r{number}", f"common s{number}")
    assert quarantined(attribution, 9.0) == {"bad"}


def test_part_that_has_become_bad_is_quarantined_after_a_while(attribution):
    """Guards against a part that is trusted for ever, as it was sound under an earlier version."""
    survive(attribution, "bad", 0.0)
    for number in range(8):
        survive(attribution, "common", 40.0 + number)
        crash(attribution, number, 40.0 + number, f"common bad r{number}")
    assert quarantined(attribution, 50.0) == {"bad"}


def test_single_survivals_do_not_clear_the_cause(attribution):
    """Guards against a short answer, complete before a crash, that undoes all evidence."""
    for number in range(3):
        crash(attribution, number, number, f"bad r{number}")
    survive(attribution, "bad", 2.5, 1)
    assert quarantined(attribution, 3.0) == {"bad"}


def test_servers_that_end_at_once_quarantine_nothing(attribution):
    """Guards against taking the end of a version, or a loss of power, for crashes by requests."""
    for number in range(8):
        crash(attribution, number, 1.0 + number * 0.01, f"common topic r{number}")
    assert quarantined(attribution, 2.0) == set()


def test_survival_ends_a_quarantine(attribution):
    """Guards against sound requests that stay refused after one of them has proved them sound."""
    for number in range(3):
        crash(attribution, number, number, f"topic r{number}")
    assert quarantined(attribution, 3.0) == {"topic"}
    survive(attribution, "topic", 3.5)
    attribution.update(4.0)
    assert quarantined(attribution, 4.0) == set()


def test_quarantine_ends_by_itself(attribution):
    """Guards against requests that are refused for good, though no one can prove them sound."""
    for number in range(3):
        crash(attribution, number, number, f"bad r{number}")
    assert quarantined(attribution, MEMORY_S + 1) == {"bad"}
    assert quarantined(attribution, MEMORY_S + 3) == set()


def test_crash_reported_by_several_gateways_counts_once(attribution):
    """Guards against counting one crash for each gateway that had requests there."""
    for _ in range(5):
        crash(attribution, 1, 1.0, "bad r0")
        crash(attribution, 1, 2.0, "bad r1")
    assert quarantined(attribution, 9.0) == set()


def test_quarantine_is_taken_over_from_another_host_unless_it_is_refuted(attribution):
    """Guards against a quarantine that is lost with a restart, or returns once it is refuted."""
    attribution.merge_quarantines({frozenset({"bad"}): 5.0, frozenset({"topic"}): 5.0}, 6.0)
    assert quarantined(attribution, 6.0) == {"bad", "topic"}
    survive(attribution, "topic", 7.0)
    attribution.merge_quarantines({frozenset({"topic"}): 5.0}, 8.0)
    assert quarantined(attribution, 8.0) == {"bad"}
    assert attribution.suspects(8.0) == {"bad"}


def test_only_survivals_that_matter_are_asked_for(attribution):
    """Guards against evidence that grows with all requests instead of with the crashes.

    Only a key that the next crash may quarantine matters.
    """
    crash(attribution, 0, 0.0, "common bad r0")
    assert attribution.suspects(0.0) == set()
    crash(attribution, 1, 1.0, "common bad r1")
    assert attribution.suspects(1.0) == {"common", "bad"}
    assert attribution.suspects(1000.0) == set()


def test_evidence_of_many_crashes_stays_small(attribution):
    """Guards against exchanges that grow with the requests of a storm of crashes."""
    for number in range(300):
        requests = [f"topic{n} r{number}-{n}" for n in range(100)]
        crash(attribution, number, number * 0.2, *requests, update=False)
    assert len(attribution.suspects(60.0)) <= MAX_SUSPECTS


def test_copies_of_a_request_at_one_moment_quarantine_it(attribution):
    """Guards against copies of a request that crash many servers at once and count as one crash."""
    for number in range(MIN_CRASHES):
        crash(attribution, number, 1.0 + number * 0.01, "request/r0 common", f"request/s{number}")
    attribution.update(2.0)
    assert quarantined(attribution, 2.0) == {"common request/r0"}


def test_part_that_crashes_many_servers_at_one_moment_is_quarantined(attribution):
    """Guards against requests with a bad part that come at once and count as one crash.

    The other parts of these requests survive elsewhere, so no loss of power ended the servers.
    """
    survive(attribution, "part/common", 1.0)
    for number in range(MAX_AMBIGUOUS_CRASHES):
        crash(
            attribution,
            number,
            1.0 + number * 0.01,
            f"part/common part/bad request/r{number}",
        )
    attribution.update(2.0)
    assert quarantined(attribution, 2.0) == {"part/bad"}


def test_part_at_few_servers_that_end_at_one_moment_is_not_quarantined(attribution):
    """Guards against taking the loss of power of some servers for crashes by a part they share."""
    survive(attribution, "part/common", 1.0)
    for number in range(MAX_AMBIGUOUS_CRASHES - 1):
        crash(attribution, number, 1.0 + number * 0.01, f"part/common part/a1 request/r{number}")
    attribution.update(2.0)
    assert quarantined(attribution, 2.0) == set()


def test_request_at_most_crashes_is_quarantined_and_not_the_part_that_all_requests_share(
    attribution,
):
    """Guards against a route that is shut for one request, after a storm without any survivals.

    Some crashes lack the request, as the gateways that had sent it restarted before they reported.
    """
    for number in range(12):
        cause = ("part/common request/r0",) if number % 4 else ()
        crash(attribution, number, 1 + number * 0.3, *cause, f"part/common request/s{number}")
    assert quarantined(attribution, 9.0) == {"part/common request/r0"}


def test_copy_with_other_parts_makes_the_quarantine_wider(attribution):
    """Guards against copies of a request that escape its quarantine by other prompt parts."""
    for number in range(3):
        crash(attribution, number, number, "part/a request/r0")
    assert quarantined(attribution, 3.0) == {"part/a request/r0"}
    crash(attribution, 3, 4.0, "part/b request/r0")
    assert quarantined(attribution, 4.0) == {"request/r0"}


def test_cause_among_many_waiting_requests_is_found(attribution):
    """Guards against a cause that is dropped, as a server with a long queue ended with it.

    Each gateway reports its own requests, and the one that sent the cause comes last.
    """
    for number in range(3):
        for gateway in range(8):
            waiting = [f"request/{number}-{gateway}-{n}" for n in range(24)]
            crash(attribution, number, number, *waiting, update=False)
        crash(attribution, number, number, "request/r0")
    assert quarantined(attribution, 3.0) == {"request/r0"}


def test_request_at_one_of_many_servers_that_end_at_one_moment_is_no_cause(attribution):
    """Guards against a sound request that is refused as it was repeated into three power losses."""
    for number in range(3):
        for server in range(4):
            request = "request/r0" if server == number else f"request/{number}-{server}"
            crash(attribution, 4 * number + server, number, request, update=False)
        attribution.update(number)
    assert quarantined(attribution, 3.0) == set()
