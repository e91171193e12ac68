"""A caller's request as the gateway has read it."""

from dataclasses import dataclass

from baobabstream.routing.document import ClientAccount, Route

__all__ = ["PromptPart", "RoutedRequest"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """One part of a prompt: its identity and its number of tokens."""

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
        The request as it is passed on; the headers are without those of one connection and
        those that only the system sets.
    route, account
        Where it goes and whose it is.
    service
        Service of the route that this request was given to.
    session
        Session of the request, or its identity if it has none.
    model
        Model that the caller names.
    prompt_parts
        Parts of the prompt; the last one is the request's own.
    prompt_tokens
        Tokens of the whole prompt.
    last_event_id
        Event after which the caller wants a stream to go on, or empty.
    arrived_s, deadline_s
        Arrival, and the time at which the caller must have its final answer.
    fingerprint
        The same for the same request sent again.
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

    def cached_prompt(self, model: str) -> str | None:
        """Return what names the shared start of the prompt in a model's cache, or None."""
        if len(self.prompt_parts) < 2:
            return None
        return f"{model}/{self.prompt_parts[-2].part_id}"

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests share."""
        return sum(part.tokens for part in self.prompt_parts[:-1])

    @property
    def priority(self) -> int:
        """Rank of the request; the client account's goes before the route's."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority
