"""Options of the stand-in model engine."""

import time
from dataclasses import dataclass, field
from pathlib import Path

from baobabstream.emulator.faults import Faults
from baobabstream.wire.rows import LoadedVersion

__all__ = ["CRASH_MARKER", "EngineOptions"]

CRASH_MARKER = "CRASH-THE-ENGINE"


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of a stand-in engine; times in seconds.

    Attributes
    ----------
    first_token_s
        Fixed time before the first token, on top of prefill and waiting.
    cache_tokens
        Memory of the prefix cache in prompt tokens.
    cache_event_delay_s, cache_event_loss
        Delay of cache events and the share of them that is lost.
    report_lag_s
        Age of the load that announcements report.
    load_s
        Time that loading a version takes.
    crash_marker
        A prompt that contains this text ends the process; empty switches this off.
    bad_shares
        Share of wrong answers by ``model@version``.
    """

    identity: str
    ip: str
    port: int
    availability_zone: str
    loaded: tuple[LoadedVersion, ...]
    first_token_s: float = 0.02
    token_gap_s: float = 0.005
    slots: int = 8
    timeline_path: Path | None = None
    incarnation: int = field(default_factory=time.time_ns)
    tokens_per_s: float = 1600.0
    prefill_tokens_per_s: float = 20_000.0
    cache_tokens: int = 50_000
    cache_event_delay_s: float = 1.0
    cache_event_loss: float = 0.1
    report_lag_s: float = 1.0
    load_s: float = 1.0
    honours_fencing: bool = True
    crash_marker: str = CRASH_MARKER
    bad_shares: dict[str, float] = field(default_factory=dict)
    faults: Faults = Faults()
    seed: int = 1
