"""Union of all messages of the protocol between daemons, as the type that the codec decodes.

Each message type has a tag, by which the codec finds the type of an encoded message.
"""

from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
    JoinReply,
    JoinRequest,
    SnapshotReply,
    SnapshotRequest,
    TransferReply,
    TransferRequest,
    VoteReply,
    VoteRequest,
)
from baobabstream.wire.coordination_messages import (
    DocumentOrder,
    DocumentQuery,
    DocumentReply,
    ExchangeReply,
    ExchangeRequest,
    RolloutOrder,
    RolloutQuery,
    RolloutReply,
)
from baobabstream.wire.messages import (
    BillReply,
    BillRequest,
    ClaimReply,
    ClaimRequest,
    ErrorReply,
    ForwardReply,
    ForwardRequest,
    LedgerSyncReply,
    LedgerSyncRequest,
    PollReply,
    PollRequest,
    SuspectReply,
    SuspectRequest,
    TrialEnd,
    TrialEndReply,
    TrialReply,
    TrialRequest,
)
from baobabstream.wire.tunnel_messages import TunnelReply, TunnelRequest

__all__ = ["MessageUnion"]

MessageUnion = (
    ErrorReply
    | PollRequest
    | PollReply
    | ClaimRequest
    | ClaimReply
    | BillRequest
    | BillReply
    | LedgerSyncRequest
    | LedgerSyncReply
    | SuspectRequest
    | SuspectReply
    | TrialRequest
    | TrialReply
    | TrialEnd
    | TrialEndReply
    | ForwardRequest
    | ForwardReply
    | VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | TransferRequest
    | TransferReply
    | JoinRequest
    | JoinReply
    | DocumentOrder
    | DocumentQuery
    | DocumentReply
    | ExchangeReply
    | ExchangeRequest
    | RolloutOrder
    | RolloutQuery
    | RolloutReply
    | TunnelRequest
    | TunnelReply
)
