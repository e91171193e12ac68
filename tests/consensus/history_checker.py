"""Checks histories of operations on one claim for linearizability.

An idempotency key is a caller's name for an operation that must run once, however often it is sent.
A claim gives one request the exclusive right to run it until the request releases the claim. A
history is linearizable if each call can be regarded as one step between its start and its end, so
that the results are those of the steps one after the other.
"""

from dataclasses import dataclass
from math import inf

__all__ = ["ClaimOperation", "is_linearizable"]


@dataclass(frozen=True)
class ClaimOperation:
    """One call with action "claim" or "release".

    ``request_id`` names the request that calls; ``start_s`` and ``end_s`` are times in seconds.
    ``result`` is the name of the result code. If the outcome is not known, ``result`` is None and
    ``end_s`` infinite.
    """

    action: str
    request_id: str
    start_s: float
    end_s: float = inf
    result: str | None = None


# States of a claim: never taken, taken, and given back by its last owner.
STATUS_FREE, STATUS_HELD, STATUS_RELEASED = "free", "held", "released"


def _apply_to_claim(
    state: tuple[str, str], operation: ClaimOperation
) -> tuple[str, tuple[str, str]]:
    """Return the result of an operation and the next state (owner, status) of the claim.

    This is the sequential definition of a claim; the owner is the request id that claimed it last.

    A released claim can be taken by another request; a delayed copy of its last owner's claim
    must not take it again, since that owner has already answered its caller.
    """
    owner, status = state
    is_owner = owner == operation.request_id
    if operation.action == "claim":
        if status == STATUS_HELD and not is_owner:
            return "REQUEST_IN_PROGRESS", state
        if status == STATUS_RELEASED and is_owner:
            return "CLAIM_UNAVAILABLE", state
        return "OK", (operation.request_id, STATUS_HELD)
    if status == STATUS_FREE:
        return "OK", (operation.request_id, STATUS_RELEASED)
    if not is_owner:
        return "NOT_FOUND", state
    return "OK", (owner, STATUS_RELEASED)


def is_linearizable(history: list[ClaimOperation]) -> bool:
    """Return whether some order that respects real time explains every known result.

    To respect real time means that a call which ended before another began comes first.

    Notes
    -----
    Depth-first search over sets of operations already ordered (Wing and Gong 1993) that
    remembers visited configurations. An operation of unknown outcome may also never have happened.
    """
    # Numbers of the operations in the history, here and below.
    known_outcomes = frozenset(
        n for n, operation in enumerate(history) if operation.result is not None
    )
    # Configurations to visit: the operations already ordered, and the claim after them.
    stack: list[tuple[frozenset[int], tuple[str, str]]] = [(frozenset(), ("", STATUS_FREE))]
    visited = set(stack)
    while stack:
        ordered, state = stack.pop()
        if known_outcomes <= ordered:
            return True
        remaining_end_s = [history[n].end_s for n in known_outcomes - ordered]
        for n, operation in enumerate(history):
            # An operation cannot be next if it began after another one with a known outcome ended.
            if n in ordered or operation.start_s > min(remaining_end_s):
                continue
            result, next_state = _apply_to_claim(state, operation)
            if operation.result not in (None, result):
                continue
            configuration = (ordered | {n}, next_state)
            if configuration not in visited:
                visited.add(configuration)
                stack.append(configuration)
    return False
