"""HTTP headers and paths that the platform defines, by the names that this package uses.

Where the platform's names say replica and tenant, this package says backend server and client
account. A caller sends a request to a gateway, which sends it on to a backend server.
"""

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

# Paths at coordination hosts for operators: the routing configuration, and the rollouts that move a
# service to another version of its backend servers.
CONFIG_GET_PATH = "/baobabstream/config/get"
CONFIG_PUT_PATH = "/baobabstream/config/put"
ROLLOUT_START_PATH = "/baobabstream/rollouts/start"
ROLLOUT_GET_PATH = "/baobabstream/rollouts/{service}/get"
# Paths at coordination hosts by which a backend server announces itself and tells that it leaves.
HEARTBEAT_PATH = "/baobabstream/replicas/{server_id}/heartbeat"
DEREGISTER_PATH = "/baobabstream/replicas/{server_id}/deregister"
# Path at gateways of the load balancer's readiness check.
READY_PATH = "/baobabstream/ready"

# Each keyword is the meaning of a header, and its value the header's name on the platform.
HEADERS = HeaderNames(
    # Identity of one try of a caller, which differs if it sends the same request again.
    request_id="X-Request-Id",
    # Milliseconds until the deadline of the complete response: a duration, not a point in time.
    time_left_ms="X-Deadline-Ms",
    api_key="X-Api-Key",
    client_account="X-Tenant",
    # Identity of a conversation, the same in all of its requests.
    session="Session",
    model="X-Model",
    # Parts of the prompt, with which the prompts of other requests may begin too.
    prompt_parts="X-Prompt-Prefix",
    # Identity of the server-sent event after which a stream continues.
    last_event_id="Last-Event-Id",
    # Identity of the only backend server that may run the request.
    expected_server="X-Expect-Replica",
    # Rank among the requests that wait at a backend server, 0 first.
    urgency="X-Request-Urgency",
    # Set on responses to requests that did not run. Other requests may not have run either.
    not_run="X-Not-Executed",
    # Signature that only a backend server sets, on its own responses.
    server_signature="X-Replica-Stamp",
    # Set to 1 on all responses of a server that leaves.
    server_leaving="Server-Leaving",
    # Requests a second, also fractions of one, that a server takes from all gateways together.
    server_limit="Server-Limit",
    # Rejections a second for want of room, beyond which a server falls over.
    server_brittle="Server-Brittle",
    # Seconds, also fractions of one, for which a server wants no requests from this gateway.
    retry_after="Retry-After",
    # Confidence that a model states in its answer, 0 to 100.
    confidence="X-Confidence",
    # Lower-case names of further headers that callers may not set; the gateway drops them.
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
