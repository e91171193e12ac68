"""A caller's request as the gateway has parsed it.

A route states how requests to one host name below one path prefix are handled; a service is a group
of equivalent backend servers that it sends them to. A session is a series of requests that a caller
marks as belonging together.

The prompt of a request to a model consists of parts. All parts but the last are its shared prefix:
prompts of other requests, for instance later ones of the same session, may begin with the same
parts. A server that has processed a prefix keeps the result in its cache.
"""

from dataclasses import dataclass

from baobabstream.routing.crash_attribution import PART_KEY_PREFIX, REQUEST_KEY_PREFIX
from baobabstream.routing.document import ClientAccount, Route
from baobabstream.routing.stable_hashing import short_key

__all__ = ["PromptPart", "RoutedRequest"]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identity and number of tokens of one part of a prompt.

    The identity is the one that the caller names, or a hash of it if it is long. Parts with the
    same identity are the same text, preceded by the same parts.
    """

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request with its route and client account.

    Parameters
    ----------
    request_id
        Identity of this try of the caller, which has another one if it sends the request again.
    method, target, headers, body
        The request as it is forwarded; ``target`` is the path with the query. The headers exclude
        those that concern only the caller's connection, and those that only the gateway may set.
    route, account
        Route and client account; the account is None if the request has no API key and needs none.
    service
        Service of the route that the request is sent to.
    session
        Identity of the session of the request, or ``request_id`` if it has none.
    model
        Model that the caller names, or empty.
    prompt_parts
        Parts of the prompt; empty if the request has no prompt or its caller names no parts.
    prompt_tokens
        Number of tokens of the whole prompt.
    last_event_id
        Identity of the event after which the caller wants a stream to continue, or empty.
    arrived_s, deadline_s
        Time of arrival, and the time at which the caller must have the complete response; both in
        seconds of the event loop's clock.
    fingerprint
        Hash of the request's content, the same if the request is sent again. It identifies requests
        that crash servers.
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
        """Return a key of the prompt's shared prefix and a model, or None if there is no prefix.

        Servers cache prefixes for each model, so the key holds both. The last part of the prefix,
        which is the last but one of the prompt, identifies the whole prefix.
        """
        if len(self.prompt_parts) < 2:
            return None
        return f"{short_key(model)}/{self.prompt_parts[-2].part_id}"

    @property
    def content_keys(self) -> frozenset[str]:
        """The one key by which copies of this request that crash servers are recognised."""
        return frozenset((f"{REQUEST_KEY_PREFIX}{self.fingerprint}",))

    @property
    def part_keys(self) -> frozenset[str]:
        """Keys of the prompt parts that other requests may have too."""
        return frozenset(f"{PART_KEY_PREFIX}{part.part_id}" for part in self.prompt_parts[:-1])

    @property
    def crash_keys(self) -> frozenset[str]:
        """All keys by which requests that crash servers are compared."""
        return self.content_keys | self.part_keys

    @property
    def shared_tokens(self) -> int:
        """Number of tokens of the prompt's shared prefix."""
        return sum(part.tokens for part in self.prompt_parts[:-1])

    @property
    def priority(self) -> int:
        """Rank of the request where it waits, 0 first; the account's rank overrides the route's."""
        account = self.account
        if account is not None and account.priority is not None:
            return account.priority
        return self.route.priority
