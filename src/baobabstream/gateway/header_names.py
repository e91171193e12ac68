"""Names of the headers that carry what the gateway needs to know of requests and answers."""

from dataclasses import dataclass

__all__ = ["HeaderNames"]


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names as a deployment spells them.

    Parameters
    ----------
    request_id
        Identity of one try of a caller; servers repeat it in their answers.
    time_left_ms
        Time in milliseconds for which the caller, or the gateway, will wait.
    api_key, client_account
        Key that the caller sends, and the client account that the server gets instead.
    session
        Requests of one conversation carry the same value.
    model, prompt_parts
        Model asked for, shared parts of the prompt.
    last_event_id
        Event after which a stream goes on.
    expected_server
        Identity of the server that may run the request.
    urgency
        Rank among the requests that wait at an engine, 0 first.
    not_run
        Marks the answer to a request that has not run.
    server_signature
        Header that only a server's own answers carry.
    confidence
        An engine's opinion of its answer, 0 to 100.
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
