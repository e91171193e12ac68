"""HTTP headers and paths that the platform defines, by the names that this package uses."""

from baobabstream.gateway.header_names import HeaderNames

__all__ = [
    "CONFIG_GET_PATH",
    "CONFIG_PUT_PATH",
    "DEREGISTER_PATH",
    "HEADERS",
    "HEARTBEAT_PATH",
    "READY_PATH",
    "ROLLOUT_GET_PATH",
    "ROLLOUT_START_PATH",
]

CONFIG_GET_PATH = "/baobabstream/config/get"
CONFIG_PUT_PATH = "/baobabstream/config/put"
ROLLOUT_START_PATH = "/baobabstream/rollouts/start"
ROLLOUT_GET_PATH = "/baobabstream/rollouts/{service}/get"
HEARTBEAT_PATH = "/baobabstream/replicas/{server_id}/heartbeat"
DEREGISTER_PATH = "/baobabstream/replicas/{server_id}/deregister"
READY_PATH = "/baobabstream/ready"

HEADERS = HeaderNames(
    request_id="X-Request-Id",
    # A duration until the deadline, not a point in time.
    time_left_ms="X-Deadline-Ms",
    api_key="X-Api-Key",
    client_account="X-Tenant",
    session="Session",
    model="X-Model",
    prompt_parts="X-Prompt-Prefix",
    last_event_id="Last-Event-Id",
    expected_server="X-Expect-Replica",
    urgency="X-Request-Urgency",
    # Set on responses to requests that did not run. Other requests may not have run either.
    not_run="X-Not-Executed",
    # Signature that only a backend server sets, on its own responses.
    server_signature="X-Replica-Stamp",
    confidence="X-Confidence",
    owned_by_system=frozenset(
        {
            "x-hold",
            "x-pin-ms",
            "x-kv-backup",
            "kv-from",
            "kv-fetch",
            "x-expect-version",
        }
    ),
)
