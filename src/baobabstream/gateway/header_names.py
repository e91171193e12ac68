"""Names of the HTTP headers that the gateway reads and writes."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as a deployment spells them.

    Parameters
    ----------
    request_id
        Identity of one try of a caller; servers repeat it in their responses.
    time_left_ms
        Time in milliseconds for which the caller, or the gateway, will wait.
    api_key, client_account
        API key that the caller sends, and the name of the client account that the backend server
        gets instead.
    session
        Identity of a conversation; all of its requests carry the same value.
    model, prompt_parts
        Model asked for, and the parts of the prompt as ``identity:tokens`` separated by commas.
    last_event_id
        Identity of the event after which a stream continues.
    expected_server
        Identity of the only server that may run the request.
    urgency
        Rank among the requests that wait at an engine, 0 first.
    not_run
        Marks the response to a request that has not run.
    server_signature
        Header that only a server's own responses carry.
    confidence
        Confidence of a model in its answer, 0 to 100.
    owned_by_system
        Further lower-case names that callers may not set.
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
    confidence: str
    owned_by_system: frozenset[str]
