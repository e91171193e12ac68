"""What callers saw in a run."""

from dataclasses import dataclass

from baobabstream.errors.codes import ResultCode

__all__ = ["CallerRecord"]


@dataclass(slots=True)
class CallerRecord:
    """One request as its caller saw it; times in seconds."""

    request_id: str
    account: str
    work_class: str
    arrived_s: float
    prompt_tokens: int
    output_tokens: int
    returns: int = 0
    first_s: float | None = None
    end_s: float | None = None
    finished: bool = False
    refused: bool = False
    code: ResultCode = ResultCode.OK
    retry_after_s: float | None = None
    model: str = ""
    version: str = ""
    good: bool = False
    cost: float = 0.0
    attempts: int = 0
    hedges: int = 0
    moves: int = 0
    tokens: int = 0
    crashes: bool = False

    @property
    def first_token_s(self) -> float:
        """Return the time to first token."""
        return self.first_s - self.arrived_s if self.first_s is not None else float("inf")

    @property
    def total_s(self) -> float:
        """Return the time to the whole answer."""
        return self.end_s - self.arrived_s if self.end_s is not None else float("inf")
