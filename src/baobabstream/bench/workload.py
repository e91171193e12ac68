"""What a workload consists of."""

from collections.abc import Callable
from dataclasses import dataclass, field

from baobabstream.bench.fake_engine import EngineSpeed
from baobabstream.wire.rows import AccountRow, ClassRow, ConfigRow, VersionRow

__all__ = ["Stream", "TrueQuality", "Workload", "always"]

TrueQuality = Callable[[str, str, float], float]


def always(value: float) -> Callable[[float], float]:
    """Return a function of time with one value."""
    return lambda _now_s: value


@dataclass(frozen=True, slots=True)
class Stream:
    """Requests of one account in one class.

    Attributes
    ----------
    rate
        Requests per second at a time.
    prompt_tokens, output_tokens
        Means of geometric distributions.
    conversations
        Conversations that share prompt prefixes; 0 for prompts without a common prefix.
    retries
        How often a refused caller comes back, after the retry time it was given.
    fingerprint
        Fixed fingerprint of a request that is sent again and again.
    """

    account: str
    work_class: str
    rate: Callable[[float], float]
    prompt_tokens: int = 200
    output_tokens: int = 100
    model: str = ""
    conversations: int = 0
    retries: int = 0
    fingerprint: str = ""
    crashes: bool = False


@dataclass(frozen=True, slots=True)
class Workload:
    """A named, seeded workload; times in seconds."""

    name: str
    summary: str
    streams: tuple[Stream, ...]
    classes: tuple[ClassRow, ...]
    accounts: tuple[AccountRow, ...]
    versions: tuple[VersionRow, ...]
    true_quality: TrueQuality
    extra_rows: tuple[ConfigRow, ...] = ()
    warm_up_s: float = 10.0
    duration_s: float = 60.0
    tail_s: float = 20.0
    engines: int = 6
    entries: int = 7
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    report_lag_s: float = 1.0
    slow_factor: Callable[[int, float], float] = lambda _engine, _now_s: 1.0
    rating_fault: Callable[[float], float] = always(1.0)
    bad_version: tuple[str, str] | None = None
    bad_from_s: float = 0.0
    peak: tuple[float, float] | None = None
    small_accounts: tuple[str, ...] = ()
