"""A caller's request as the gateway has parsed it."""

from dataclasses import dataclass

from baobabstream.routing.document import ClientAccount, Route

__all__ = ["PromptPart", "RoutedRequest"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identity and number of tokens of one part of a prompt.

    All parts but the last may be shared with other prompts, and a backend server may have them in
    its cache.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and client account.

    Parameters
    ----------
    request_id
        Identity of this try of the caller.
    method, target, headers, body
        The request as it is forwarded. The headers exclude hop-by-hop headers and those that only
        the gateway may set.
    route, account
        Route and client account; the account is None on a route that needs no key.
    service
        Service of the route that the request is sent to.
    session
        Session of the request, or ``request_id`` if it has none.
    model
        Model that the caller names, or empty.
    prompt_parts
        Parts of the prompt; all but the last may be shared with other requests.
    prompt_tokens
        Number of tokens of the whole prompt.
    last_event_id
        Identity of the event after which the caller wants a stream to continue, or empty.
    arrived_s, deadline_s
        Time of arrival, and the time at which the caller must have the complete response; both in
        seconds of the event loop's clock.
    fingerprint
        Hash of the request's content, the same if the request is sent again.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    route: Route
    account: ClientAccount | None
    service: str
    session: str
    model: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    last_event_id: str
    arrived_s: float
    deadline_s: float
    fingerprint: str

    def shared_prompt_key(self, model: str) -> str | None:
        """Return the key of the prompt's shared prefix in a model's cache, None without prefix."""
        if len(self.prompt_parts) < 2:
            return None
        return f"{model}/{self.prompt_parts[-2].part_id}"

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of the prefix that other requests share."""
        return sum(part.tokens for part in self.prompt_parts[:-1])

    @property
    def priority(self) -> int:
        """Rank of the request, 0 first; the client account's rank overrides the route's."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority
