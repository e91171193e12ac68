"""Checks histories of operations on one claim for linearizability."""

from dataclasses import dataclass
from math import inf

__all__ = ["ClaimOperation", "is_linearizable"]


@dataclass(frozen=True)
class ClaimOperation:
    """One call; ``result`` is None and ``end_s`` infinite if its outcome is not known."""

    action: str
    request_id: str
    start_s: float
    end_s: float = inf
    result: str | None = None


FREE, HELD, RELEASED = "free", "held", "released"


def _step(state: tuple[str, str], operation: ClaimOperation) -> tuple[str, tuple[str, str]]:
    """Return result and next state (owner, status) by the sequential definition of a claim.

    A released claim can be taken by another request; a delayed copy of its last owner's claim
    must not take it again, since that owner has already answered its caller.
    """
    owner, status = state
    own = owner == operation.request_id
    if operation.action == "claim":
        if status == HELD and not own:
            return "REQUEST_IN_PROGRESS", state
        if status == RELEASED and own:
            return "CLAIM_UNAVAILABLE", state
        return "OK", (operation.request_id, HELD)
    if status == FREE:
        return "OK", (operation.request_id, RELEASED)
    if not own:
        return "NOT_FOUND", state
    return "OK", (owner, RELEASED)


def is_linearizable(history: list[ClaimOperation]) -> bool:
    """Return whether some order that respects real time explains every known result.

    Notes
    -----
    Depth-first search over sets of operations already ordered (Wing and Gong 1993) with a memory
    of visited configurations. An operation of unknown outcome may also never have happened.
    """
    known = frozenset(n for n, item in enumerate(history) if item.result is not None)
    stack: list[tuple[frozenset[int], tuple[str, str]]] = [(frozenset(), ("", FREE))]
    seen = set(stack)
    while stack:
        done, state = stack.pop()
        if known <= done:
            return True
        open_ends = [history[n].end_s for n in known - done]
        for n, operation in enumerate(history):
            if n in done or operation.start_s > min(open_ends):
                continue
            result, following = _step(state, operation)
            if operation.result not in (None, result):
                continue
            configuration = (done | {n}, following)
            if configuration not in seen:
                seen.add(configuration)
                stack.append(configuration)
    return False
