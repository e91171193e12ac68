"""Names of the HTTP headers that the gateway reads and writes.

A caller sends a request to the gateway, which sends it on to a backend server. An engine is a
backend server that runs a model; other backend servers read no model and no urgency.
"""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as a deployment spells them.

    Parameters
    ----------
    request_id
        Identity of one try of a caller, which has another one if it sends the same request again;
        servers repeat it in their responses.
    time_left_ms
        Time in milliseconds, from the arrival of the request, for which the caller, or towards a
        server the gateway, will wait for the complete response.
    api_key, client_account
        API key that the caller sends, and the name of the client account that the backend server
        gets instead.
    session
        Identity of a conversation; all of its requests carry the same value.
    model, prompt_parts
        Model asked for, and the parts of the prompt as ``identity:tokens`` separated by commas.
        Prompts of other requests may begin with the same parts, which a server may have cached.
    last_event_id
        Identity of the server-sent event after which a stream continues.
    expected_server
        Identity of the only server that may run the request; another one that has taken over its
        address refuses it.
    urgency
        Rank among the requests that wait at an engine, 0 first.
    not_run
        Marks the response to a request that has not run. A response without it may be to a request
        that has run or to one that has not.
    server_signature
        Header that only a backend server's own responses carry, not those of a proxy on the way.
    server_leaving
        Set to ``1`` on all responses of a server that is about to leave.
    server_limit
        Requests a second that a server in need takes from all gateways together.
    server_brittle
        Requests a second that a brittle server may have to reject for want of room.
    retry_after
        Seconds for which a server that refuses a request wants no further ones from this gateway.
    confidence
        Confidence that a model states in its answer, 0 to 100.
    owned_by_system
        Further lower-case names of headers that callers may not set; the gateway drops them.
    """

    request_id: str
    time_left_ms: str
    api_key: str
    client_account: str
    session: str
    model: str
    prompt_parts: str
    last_event_id: str
    expected_server: str
    urgency: str
    not_run: str
    server_signature: str
    server_leaving: str
    server_limit: str
    server_brittle: str
    retry_after: str
    confidence: str
    owned_by_system: frozenset[str]
