"""Decides which outcome of an attempt counts for or against the version of its server.

An attempt is one send of a request to one backend server. The versions of a rollout are compared by
the shares of their bad responses, so an outcome that has nothing to do with the software of the
server is left out, and one that both versions have alike does no harm.

========================================  ==========================================================
Outcome                                   Counts as
========================================  ==========================================================
Response in the expected time             good
Response much slower than expected        bad
Status 4xx or 5xx of a server that ran    bad
Bytes that are no valid response          bad
No response within the hang time-out      bad
Connection ended by a server that runs    bad
Connection ended as it had been idle      nothing
Crash of the server, or no path to it     nothing
Refusal without a run                     nothing
No response when the caller left, or at   bad after a wait that would make a response bad, or that
the deadline                              is most of the time that the route allows; else nothing
Stream under way at its deadline          bad, if it had most of the time that the route allows
========================================  ==========================================================
"""

from enum import StrEnum

__all__ = [
    "BAD_EVENT_SLOWDOWN",
    "BAD_RESPONSE_SLOWDOWN",
    "ResponseVerdict",
    "judge_event_interval",
    "judge_missing_response",
    "judge_response",
]

# A response that takes more than this many times the expected time counts as bad. Responses of a
# healthy server vary at random up to two to three times the expected time.
BAD_RESPONSE_SLOWDOWN = 4.0
# The same for the mean time between the events of a stream, which varies less. A tenth of all
# streams of healthy servers are this slow, which does no harm: versions are compared by their
# fractions of such streams.
BAD_EVENT_SLOWDOWN = 2.0
# A server that has had this fraction of the route's time-out and has not answered counts as bad
# whatever time was expected. A later attempt of a request may get less.
BAD_WAIT_FRACTION = 0.5
# Lowest HTTP status of an error.
FIRST_ERROR_STATUS = 400


class ResponseVerdict(StrEnum):
    """What an outcome says about the version of the server."""

    GOOD = "good"
    BAD = "bad"
    NONE = "none"


def judge_response(status: int, slowdown: float) -> ResponseVerdict:
    """Return the verdict on a whole response, or on the begin of a stream.

    Parameters
    ----------
    status
        HTTP status of the response.
    slowdown
        Its time as a multiple of the expected one; 0 for a stream, whose first event may wait at
        any server under load.
    """
    is_bad = status >= FIRST_ERROR_STATUS or slowdown > BAD_RESPONSE_SLOWDOWN
    return ResponseVerdict.BAD if is_bad else ResponseVerdict.GOOD


def judge_event_interval(slowdown: float) -> ResponseVerdict:
    """Return the verdict on a stream by the mean time between its events.

    ``slowdown`` is that time as a multiple of the expected one.
    """
    return ResponseVerdict.BAD if slowdown > BAD_EVENT_SLOWDOWN else ResponseVerdict.GOOD


def judge_missing_response(slowdown: float, wait_fraction: float) -> ResponseVerdict:
    """Return the verdict on a response that had not come when the caller or gateway gave it up.

    Parameters
    ----------
    slowdown
        Time of the wait as a multiple of the time that is expected for a response; 0 for a stream.
    wait_fraction
        Time of the wait as a fraction of the time-out of the route.
    """
    is_bad = slowdown > BAD_RESPONSE_SLOWDOWN or wait_fraction >= BAD_WAIT_FRACTION
    return ResponseVerdict.BAD if is_bad else ResponseVerdict.NONE
