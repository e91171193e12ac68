"""Messages between entry and control daemons, except those of log replication.

An entry daemon handles callers' requests. Control daemons store configuration, claims and bills;
one of them is the leader. A claim reserves a non-idempotent request so that it runs only once. A
suspect is a request that was running when a backend server was lost. It may run again only in a
trial, which the leader grants for one backend server at a time. A fingerprint is a hash that
identifies a request by its content. A quarantined request has lost several backend servers and must
not run any more.

A lease is the time for which an entry daemon may serve without contact to the leader. A revision
numbers the changes of the configuration, whose items are called rows. A term numbers the election
periods, each of which has at most one leader. An incarnation tells the successive processes of a
host or backend server apart. Evidence is counts of good and bad results, by which model versions
are compared. The ledger is a control host's file of bills.
"""

from enum import StrEnum

from msgspec import Struct

from baobabstream.wire.rows import BackendRecord, LoadReport, RowEntry

__all__ = [
    "Bill",
    "BillReply",
    "BillRequest",
    "ClaimAction",
    "ClaimReply",
    "ClaimRequest",
    "ClaimState",
    "ErrorReply",
    "ForwardReply",
    "ForwardRequest",
    "LedgerSyncReply",
    "LedgerSyncRequest",
    "PollReply",
    "PollRequest",
    "SuspectReply",
    "SuspectRequest",
    "TrialEnd",
    "TrialEndReply",
    "TrialReply",
    "TrialRequest",
    "VersionEvidence",
]


class ErrorReply(Struct, frozen=True, tag="error"):
    """Failure of a call.

    ``code`` is the number of a ``ResultCode``, ``detail`` one sentence on what happened. ``leader``
    is the host name of the leader, to which the caller may turn instead, or empty.
    """

    code: int
    detail: str = ""
    leader: str = ""


class VersionEvidence(Struct, frozen=True, array_like=True):
    """Results of one model version since the last poll of the entry daemon that was accepted.

    ``successes`` and ``errors`` count requests; ``rated_good`` and ``rated_bad`` count ratings of
    answers.
    """

    model: str
    version: str
    successes: int = 0
    errors: int = 0
    rated_good: int = 0
    rated_bad: int = 0


class PollRequest(Struct, frozen=True, tag="poll"):
    """Long poll of an entry daemon, which renews its lease and asks for changes.

    The leader answers after a change, at the latest after ``wait_ms`` milliseconds. ``host`` and
    ``incarnation`` identify the entry process, and ``applied_revision`` is the newest configuration
    revision that it uses. ``epoch`` identifies the leader's registry of backend servers: an
    arbitrary number that a leader draws from the wall time for each registry that it creates.
    ``registry_version`` counts the changes in that registry. ``evidence_sequence`` rises with each
    poll that carries new evidence, so that a repeated poll is not counted twice. ``draining`` is
    set while the entry daemon stops.
    """

    host: str
    incarnation: int
    availability_zone: str
    applied_revision: int
    epoch: int
    registry_version: int
    wait_ms: int
    evidence_sequence: int = 0
    evidence: tuple[VersionEvidence, ...] = ()
    draining: bool = False


class PollReply(Struct, frozen=True, tag="poll_reply"):
    """Answer to a poll: changed configuration rows and backend servers, and the lease.

    ``lease_ms`` is the length of the lease in milliseconds. ``revision``, ``epoch`` and
    ``registry_version`` are the state that the entry daemon has with this reply. ``rows_complete``
    means that rows not listed do not exist, and ``registry_complete`` the same for ``backends``.
    ``backends_gone`` are the identities of servers that were removed. ``loads`` are new loads of
    servers that are otherwise unchanged. ``evidence_sequence`` repeats that of the poll, and tells
    the entry daemon which evidence has been received.

    While ``registry_warm`` is false, the new leader is still collecting the announcements of the
    backend servers. A complete registry then does not remove servers that the entry knows, except
    those in ``departed``, which maps an identity to its lowest incarnation that has not left.
    """

    term: int
    revision: int
    lease_ms: int
    rows: tuple[RowEntry, ...] = ()
    epoch: int = 0
    registry_version: int = 0
    registry_complete: bool = False
    backends: tuple[BackendRecord, ...] = ()
    backends_gone: tuple[str, ...] = ()
    evidence_sequence: int = 0
    rows_complete: bool = False
    registry_warm: bool = True
    departed: dict[str, int] = {}
    loads: tuple[LoadReport, ...] = ()


class ClaimAction(StrEnum):
    """Change of a claim that an entry daemon asks for.

    ``CLAIM`` reserves the request. The others report its outcome: ``FINISH`` that it has run,
    ``NOT_RUN`` that it has not, so that it may be claimed again, and ``UNKNOWN`` that it is not
    known whether it has.
    """

    CLAIM = "claim"
    FINISH = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimState(StrEnum):
    """State of the claim on a non-idempotent request.

    ``CLAIMED`` until the owner reports the outcome: the request has run (``FINISHED``), has not
    (``NOT_RUN``), or it is not known whether it has (``UNKNOWN``).
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimRequest(Struct, frozen=True, tag="claim"):
    """Claims, finishes or releases a non-idempotent request.

    The claim is keyed by ``client_account`` and ``idempotency_key``. ``body_digest`` is a digest of
    the request's body, by which the use of the key for another request is detected. ``host`` and
    ``incarnation`` identify the entry process. ``http_status``, ``answer`` and ``content_type`` are
    the response to store for a finished request.
    """

    action: ClaimAction
    client_account: str
    idempotency_key: str
    body_digest: str
    request_id: str
    host: str
    http_status: int = 0
    answer: bytes = b""
    content_type: str = ""
    incarnation: int = 0


class ClaimReply(Struct, frozen=True, tag="claim_reply"):
    """Answer to a claim request.

    ``code`` is a ``ResultCode``. ``request_id`` is the request that owns the claim.
    ``http_status``, ``answer`` and ``content_type`` are its stored response, if any.
    """

    code: int
    state: ClaimState
    request_id: str = ""
    http_status: int = 0
    answer: bytes = b""
    content_type: str = ""


class Bill(Struct, frozen=True):
    """Charge for one request, keyed by client account and request id.

    ``cost`` is the amount charged, in the unit of the model version's cost per 1,000 tokens, and
    ``host`` the entry host that wrote the bill. ``work_class`` is the class of work of the request,
    ``wall_time_ms`` the Unix time of the bill in milliseconds.
    """

    client_account: str
    request_id: str
    work_class: str
    model: str
    version: str
    prompt_tokens: int
    output_tokens: int
    cost: float
    host: str
    wall_time_ms: int


class BillRequest(Struct, frozen=True, tag="bill"):
    """Asks a control host to store bills durably."""

    bills: tuple[Bill, ...]


class BillReply(Struct, frozen=True, tag="bill_reply"):
    """Confirms that the bills are durable on ``host`` in ``availability_zone``.

    ``new_bills`` is the number of bills that this host did not have before.
    """

    host: str
    availability_zone: str
    new_bills: int


class LedgerSyncRequest(Struct, frozen=True, tag="ledger_sync"):
    """Asks a control host for the bills in its ledger from ``from_index`` on.

    ``from_index`` is a position in bytes in the ledger file whose identity is ``ledger_id``; with
    another identity the reply starts at the beginning. ``host`` is the host that asks. ``bills`` is
    always empty.
    """

    host: str
    from_index: int
    bills: tuple[Bill, ...] = ()
    ledger_id: str = ""


class LedgerSyncReply(Struct, frozen=True, tag="ledger_sync_reply"):
    """Bills of the answering host's ledger, and the next position to ask for.

    ``count`` is the number of bills in the whole ledger and ``digest`` a digest of their set, by
    which two ledgers can be compared. ``next_index`` is a position in bytes in the ledger file
    whose identity is ``ledger_id``.
    """

    next_index: int
    bills: tuple[Bill, ...] = ()
    ledger_id: str = ""
    count: int = 0
    digest: int = 0


class SuspectRequest(Struct, frozen=True, tag="suspect"):
    """Reports the loss of a backend server while it ran the requests with these fingerprints.

    ``backend_server`` is the identity of the lost server and ``incarnation`` identifies its
    process. ``host`` is the entry host that reports.
    """

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]
    host: str


class SuspectReply(Struct, frozen=True, tag="suspect_reply"):
    """Reported fingerprints that are quarantined, so that these requests must not run."""

    quarantined: tuple[str, ...] = ()


class TrialRequest(Struct, frozen=True, tag="trial"):
    """Asks the leader for a trial, the exclusive right to run a suspect on a backend server.

    ``candidates`` are the identities of the backend servers that may run it. ``host`` is the entry
    host that asks.
    """

    fingerprint: str
    request_id: str
    host: str
    candidates: tuple[str, ...]


class TrialReply(Struct, frozen=True, tag="trial_reply"):
    """Backend server on which the suspect may run, or empty if no trial is granted.

    ``retry_after_ms`` is the time in milliseconds after which to ask again. The suspect must end
    within ``trial_ms`` milliseconds of the request for the trial. ``quarantined`` means that
    the suspect must not run any more.
    """

    backend_server: str = ""
    retry_after_ms: int = 0
    quarantined: bool = False
    trial_ms: int = 0


class TrialEnd(Struct, frozen=True, tag="trial_end"):
    """Reports the end of a trial.

    ``ran`` says whether the suspect ran, ``lost`` whether its backend server was lost. A suspect
    that ran without a loss is no longer a suspect.
    """

    fingerprint: str
    request_id: str
    host: str
    lost: bool
    ran: bool = True


class TrialEndReply(Struct, frozen=True, tag="trial_end_reply"):
    """Confirms that the end of the trial is recorded."""


class ForwardRequest(Struct, frozen=True, tag="forward"):
    """HTTP request of an operator that another control host forwards to the leader.

    ``operator`` is the name of the authenticated operator.
    """

    method: str
    path: str
    body: bytes
    operator: str


class ForwardReply(Struct, frozen=True, tag="forward_reply"):
    """HTTP response of the leader to a forwarded request."""

    http_status: int
    body: bytes
