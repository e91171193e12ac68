"""Names of headers and paths on the platform, decoded into the product's terms."""

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
    # The time that is left, not a point in time.
    time_left_ms="X-Deadline-Ms",
    api_key="X-Api-Key",
    client_account="X-Tenant",
    session="Session",
    model="X-Model",
    prompt_parts="X-Prompt-Prefix",
    last_event_id="Last-Event-Id",
    expected_server="X-Expect-Replica",
    urgency="X-Request-Urgency",
    # Present on answers to requests that did not run; absence says nothing.
    not_run="X-Not-Executed",
    # Signature of the server over its answer.
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
