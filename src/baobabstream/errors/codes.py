"""Numbered result codes of answers to callers, operators, backend servers and daemons.

A claim reserves a request that must not run twice, under the caller's idempotency key. A lease is
the time for which an entry host may serve without contact to the control hosts. A quarantined
request has crashed several backend servers and must not run. A session is a series of requests that
run on the same model version. An incarnation is one process start of a backend server. A fencing
number only rises, so that an order with a lower one comes from a former leader. A class of work has
latency and quality targets for the requests that name it. A revision numbers the changes of the
configuration. An HMAC is a keyed hash, by which a daemon proves that it has the shared secret.
"""

from dataclasses import dataclass
from enum import IntEnum, StrEnum

__all__ = ["CODE_TABLE", "CodeRow", "ResultCode", "RunState"]


class RunState(StrEnum):
    """Whether the request that is answered with a result code has been executed.

    ``UNKNOWN`` means that it may have been.
    """

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Result of a caller's request, an operator's change, an announcement or an internal call.

    Notes
    -----
    Codes 1xxx go to callers, 2xxx to operators, 3xxx to backend servers and 4xxx to other daemons.
    Codes 5xxx concern storage, and 6xxx settings and the command line. Numbers are never reused.
    """

    OK = 0
    MALFORMED_BODY = 1001
    BODY_TOO_LARGE = 1002
    BODY_TOO_SLOW = 1003
    UNAUTHENTICATED = 1004
    UNKNOWN_CLASS = 1005
    UNKNOWN_MODEL = 1006
    MODEL_NOT_ALLOWED = 1007
    NO_BACKEND_SERVER = 1008
    OVERLOADED = 1009
    DEADLINE_UNREACHABLE = 1010
    LEASE_EXPIRED = 1011
    STOPPING = 1012
    SESSION_INVALID = 1013
    SESSION_VERSION_WITHDRAWN = 1014
    QUARANTINED = 1015
    IDEMPOTENCY_KEY_MISSING = 1016
    IDEMPOTENCY_KEY_REUSED = 1017
    REQUEST_IN_PROGRESS = 1018
    OUTCOME_UNKNOWN = 1019
    ALREADY_DONE = 1020
    BACKEND_FAILED = 1021
    TIMED_OUT = 1022
    UNKNOWN_ROUTE = 1023
    ACCOUNT_LIMIT = 1024
    CLAIM_UNAVAILABLE = 1025
    CALLER_STALLED = 1030
    MALFORMED_HEADER = 1031
    SESSION_FOREIGN = 1032
    SERVICE_NOT_ALLOWED = 1033
    INTERNAL_ERROR = 1034
    NO_CONFIGURATION = 1035
    PROMPT_QUARANTINED = 1036
    MALFORMED_REQUEST = 1037
    HEAD_TOO_LARGE = 1038
    HEAD_TOO_SLOW = 1039
    CLIENT_MEMORY_FULL = 1040
    CHANGE_INVALID = 2001
    REVISION_CONFLICT = 2002
    NO_LEADER = 2003
    NOT_FOUND = 2004
    OPERATOR_UNAUTHENTICATED = 2005
    CHANGE_UNKNOWN = 2006
    CHANGE_ID_REUSED = 2007
    ANNOUNCEMENT_UNAUTHENTICATED = 3001
    ANNOUNCEMENT_INVALID = 3002
    INCARNATION_STALE = 3003
    ORDER_FENCED = 3004
    WRONG_CLUSTER = 4001
    WRONG_PROTOCOL_VERSION = 4002
    PEER_UNAUTHENTICATED = 4003
    MESSAGE_MALFORMED = 4004
    PEER_TIMEOUT = 4005
    PEER_UNREACHABLE = 4006
    PEER_FAILED = 4007
    LOG_DAMAGED = 5001
    DISK_FAILED = 5002
    DATA_FOLDER_IN_USE = 5003
    DATA_FOLDER_FOREIGN = 5004
    DISK_FULL = 5005
    SETTINGS_INVALID = 6001
    SETTINGS_UNREADABLE = 6002
    ADDRESS_IN_USE = 6003
    TLS_FILES_INVALID = 6004


@dataclass(frozen=True, slots=True)
class CodeRow:
    """One row of the result code table.

    Parameters
    ----------
    code
        Number and name.
    http_status
        Status of an HTTP response with this code.
    run_state
        Whether the request has run.
    retryable
        Whether the same request may be sent again and may then succeed.
    summary
        Text for people, used when an error has no other detail.
    """

    code: ResultCode
    http_status: int
    run_state: RunState
    retryable: bool
    summary: str


# Short names for the table.
_NO, _YES, _UNKNOWN = RunState.NO, RunState.YES, RunState.UNKNOWN
_C = ResultCode

# Every result code, with its HTTP status, run state, whether it is retryable, and its summary.
CODE_TABLE: dict[ResultCode, CodeRow] = {
    row.code: row
    for row in (
        CodeRow(_C.OK, 200, _YES, False, "The request succeeded."),
        CodeRow(_C.MALFORMED_BODY, 400, _NO, False, "The body is not valid for this call."),
        CodeRow(_C.BODY_TOO_LARGE, 413, _NO, False, "The body is larger than the limit."),
        CodeRow(_C.BODY_TOO_SLOW, 408, _NO, True, "The body did not arrive in time."),
        CodeRow(_C.UNAUTHENTICATED, 401, _NO, False, "The client account key is not known."),
        CodeRow(_C.UNKNOWN_CLASS, 400, _NO, False, "The class of work does not exist."),
        CodeRow(_C.UNKNOWN_MODEL, 404, _NO, False, "The model does not exist."),
        CodeRow(_C.MODEL_NOT_ALLOWED, 403, _NO, False, "The account may not use this model."),
        CodeRow(_C.NO_BACKEND_SERVER, 503, _NO, True, "No backend server serves this version."),
        CodeRow(_C.OVERLOADED, 429, _NO, True, "The queue for this class is full."),
        CodeRow(_C.DEADLINE_UNREACHABLE, 429, _NO, True, "The class target cannot be met now."),
        CodeRow(_C.LEASE_EXPIRED, 503, _NO, True, "This entry host lost its control lease."),
        CodeRow(_C.STOPPING, 503, _NO, True, "This entry host is stopping."),
        CodeRow(_C.SESSION_INVALID, 400, _NO, False, "The session token is not valid."),
        CodeRow(_C.SESSION_VERSION_WITHDRAWN, 409, _NO, False, "The session must be restarted."),
        CodeRow(_C.QUARANTINED, 422, _NO, False, "The request crashed backend servers."),
        CodeRow(_C.IDEMPOTENCY_KEY_MISSING, 400, _NO, False, "This call needs Idempotency-Key."),
        CodeRow(_C.IDEMPOTENCY_KEY_REUSED, 422, _NO, False, "The key belongs to another body."),
        CodeRow(_C.REQUEST_IN_PROGRESS, 409, _UNKNOWN, True, "The same request is running."),
        CodeRow(_C.OUTCOME_UNKNOWN, 504, _UNKNOWN, False, "It is unknown whether it ran."),
        CodeRow(_C.ALREADY_DONE, 409, _YES, False, "The request has already run."),
        CodeRow(_C.BACKEND_FAILED, 502, _UNKNOWN, True, "The backend servers failed."),
        CodeRow(_C.TIMED_OUT, 504, _UNKNOWN, True, "The answer did not arrive in time."),
        CodeRow(_C.UNKNOWN_ROUTE, 404, _NO, False, "No route matches this path."),
        CodeRow(_C.ACCOUNT_LIMIT, 429, _NO, True, "The account has used its allowance."),
        CodeRow(_C.CLAIM_UNAVAILABLE, 503, _NO, True, "The claim could not be recorded."),
        CodeRow(_C.CALLER_STALLED, 408, _UNKNOWN, False, "The caller did not read its answer."),
        CodeRow(_C.MALFORMED_HEADER, 400, _NO, False, "A header is not valid."),
        CodeRow(_C.SESSION_FOREIGN, 403, _NO, False, "The session is another account's."),
        CodeRow(_C.SERVICE_NOT_ALLOWED, 403, _NO, False, "The account may not use this service."),
        CodeRow(_C.INTERNAL_ERROR, 500, _UNKNOWN, False, "The entry host failed unexpectedly."),
        CodeRow(_C.NO_CONFIGURATION, 503, _NO, True, "No configuration has arrived here yet."),
        CodeRow(
            _C.PROMPT_QUARANTINED,
            503,
            _NO,
            True,
            "Requests with a part of this prompt crash backend servers.",
        ),
        CodeRow(_C.MALFORMED_REQUEST, 400, _NO, False, "The bytes are no HTTP request."),
        CodeRow(_C.HEAD_TOO_LARGE, 431, _NO, False, "The headers are larger than the limit."),
        CodeRow(_C.HEAD_TOO_SLOW, 408, _NO, True, "The headers did not arrive in time."),
        CodeRow(
            _C.CLIENT_MEMORY_FULL, 503, _NO, True, "This host has no memory left for the request."
        ),
        CodeRow(_C.CHANGE_INVALID, 400, _NO, False, "The change is not valid."),
        CodeRow(_C.REVISION_CONFLICT, 409, _NO, False, "The change is based on an old revision."),
        CodeRow(_C.NO_LEADER, 503, _NO, True, "No control leader can be reached."),
        CodeRow(_C.NOT_FOUND, 404, _NO, False, "The named item does not exist."),
        CodeRow(_C.OPERATOR_UNAUTHENTICATED, 401, _NO, False, "The operator key is not known."),
        CodeRow(
            _C.CHANGE_UNKNOWN, 504, _UNKNOWN, True, "Resend the change with the same identity."
        ),
        CodeRow(_C.CHANGE_ID_REUSED, 422, _NO, False, "The identity belongs to another change."),
        CodeRow(_C.ANNOUNCEMENT_UNAUTHENTICATED, 401, _NO, False, "The backend key is not known."),
        CodeRow(_C.ANNOUNCEMENT_INVALID, 400, _NO, False, "The announcement is not valid."),
        CodeRow(_C.INCARNATION_STALE, 409, _NO, False, "A newer incarnation has announced."),
        CodeRow(_C.ORDER_FENCED, 409, _NO, False, "The order has an old fencing number."),
        CodeRow(_C.WRONG_CLUSTER, 403, _NO, False, "The peer belongs to another cluster."),
        CodeRow(_C.WRONG_PROTOCOL_VERSION, 400, _NO, False, "The protocol versions differ."),
        CodeRow(_C.PEER_UNAUTHENTICATED, 401, _NO, False, "The peer's HMAC is not valid."),
        CodeRow(_C.MESSAGE_MALFORMED, 400, _NO, False, "The message cannot be decoded."),
        CodeRow(_C.PEER_TIMEOUT, 504, _UNKNOWN, True, "The peer did not answer in time."),
        CodeRow(_C.PEER_UNREACHABLE, 503, _NO, True, "The peer cannot be reached."),
        CodeRow(_C.PEER_FAILED, 500, _UNKNOWN, True, "The peer failed while it served the call."),
        CodeRow(_C.LOG_DAMAGED, 500, _UNKNOWN, False, "A log record is damaged."),
        CodeRow(_C.DISK_FAILED, 500, _UNKNOWN, False, "Writing or syncing a file failed."),
        CodeRow(_C.DATA_FOLDER_IN_USE, 500, _NO, False, "Another daemon uses the data folder."),
        CodeRow(_C.DATA_FOLDER_FOREIGN, 500, _NO, False, "The folder is another member's."),
        CodeRow(_C.DISK_FULL, 500, _NO, True, "The disk is full."),
        CodeRow(_C.SETTINGS_INVALID, 400, _NO, False, "A settings value is not valid."),
        CodeRow(_C.SETTINGS_UNREADABLE, 400, _NO, False, "The settings file cannot be read."),
        CodeRow(_C.ADDRESS_IN_USE, 500, _NO, False, "The address is in use."),
        CodeRow(_C.TLS_FILES_INVALID, 400, _NO, False, "The TLS files cannot be used."),
    )
}
