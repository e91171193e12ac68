"""Messages between daemons, other than those of log replication."""

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
    """A call failed with a numbered result code; ``leader`` names the leader if known."""

    code: int
    detail: str = ""
    leader: str = ""


class VersionEvidence(Struct, frozen=True, array_like=True):
    """Counts of one version's results since the entry's last accepted poll."""

    model: str
    version: str
    successes: int = 0
    errors: int = 0
    rated_good: int = 0
    rated_bad: int = 0


class PollRequest(Struct, frozen=True, tag="poll"):
    """Entry's long poll; renews its lease and asks for what changed.

    ``epoch`` identifies the registry instance (leader term) that ``registry_version`` counts in.
    ``evidence_sequence`` rises with each poll that carries new evidence, so that a resent poll is
    not counted twice.
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
    """Answer to a poll: rows and backend servers that changed, and the lease.

    ``rows_complete`` says that rows not listed do not exist. While ``registry_warm`` is false, the
    leader is still learning the backend servers from their announcements, and a complete registry
    does not remove the ones that the entry knows, except those in ``departed``: for each identity
    the lowest incarnation that has not left.
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
    """What an entry asks of a claim."""

    CLAIM = "claim"
    FINISH = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimState(StrEnum):
    """State of a claim on a non-idempotent request."""

    CLAIMED = "claimed"
    FINISHED = "finished"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class ClaimRequest(Struct, frozen=True, tag="claim"):
    """Claims, finishes or releases a non-idempotent request."""

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
    """Result of a claim call: the code, the state and the stored answer, if any."""

    code: int
    state: ClaimState
    request_id: str = ""
    http_status: int = 0
    answer: bytes = b""
    content_type: str = ""


class Bill(Struct, frozen=True):
    """A bill, keyed by client account and request identity."""

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
    """The bills are synced on ``host`` in ``availability_zone``."""

    host: str
    availability_zone: str
    new_bills: int


class LedgerSyncRequest(Struct, frozen=True, tag="ledger_sync"):
    """Sends bills that the peer may lack and asks for those after ``from_index``.

    ``from_index`` counts bytes of the peer's ledger file with the identity ``ledger_id``.
    """

    host: str
    from_index: int
    bills: tuple[Bill, ...] = ()
    ledger_id: str = ""


class LedgerSyncReply(Struct, frozen=True, tag="ledger_sync_reply"):
    """Bills of the peer's ledger from ``from_index`` on, and the next index to ask for.

    ``count`` and ``digest`` describe the peer's whole set of bills.
    """

    next_index: int
    bills: tuple[Bill, ...] = ()
    ledger_id: str = ""
    count: int = 0
    digest: int = 0


class SuspectRequest(Struct, frozen=True, tag="suspect"):
    """Reports that a backend server was lost while it ran the fingerprinted requests."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]
    host: str


class SuspectReply(Struct, frozen=True, tag="suspect_reply"):
    """Fingerprints, of those reported, that are now quarantined."""

    quarantined: tuple[str, ...] = ()


class TrialRequest(Struct, frozen=True, tag="trial"):
    """Asks the leader for the exclusive right to run a suspect on one of the candidates."""

    fingerprint: str
    request_id: str
    host: str
    candidates: tuple[str, ...]


class TrialReply(Struct, frozen=True, tag="trial_reply"):
    """Backend server on which the suspect may run, or empty with a time to ask again.

    The suspect must have ended within ``trial_ms`` of the request for the trial.
    """

    backend_server: str = ""
    retry_after_ms: int = 0
    quarantined: bool = False
    trial_ms: int = 0


class TrialEnd(Struct, frozen=True, tag="trial_end"):
    """The trial is over; a suspect that ran and did not lose its backend server is cleared."""

    fingerprint: str
    request_id: str
    host: str
    lost: bool
    ran: bool = True


class TrialEndReply(Struct, frozen=True, tag="trial_end_reply"):
    """The end of the trial is recorded."""


class ForwardRequest(Struct, frozen=True, tag="forward"):
    """An HTTP call that reached a control host other than the leader."""

    method: str
    path: str
    body: bytes
    operator: str


class ForwardReply(Struct, frozen=True, tag="forward_reply"):
    """The leader's HTTP answer."""

    http_status: int
    body: bytes
