"""Checks of the fields of each kind of configuration row."""

import re
from math import isfinite

from baobabstream.wire.rows import (
    AccountRow,
    ClassRow,
    ConfigRow,
    QuarantineRow,
    RolloutRow,
    RouteRow,
    VersionRow,
)

__all__ = ["field_problem"]

MAX_LIST_ITEMS = 1000
MAX_TIMEOUT_S = 3600.0
MAX_STEP_S = 7 * 24 * 3600.0
MAX_STEPS = 100
HTTP_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
RESERVED_PREFIXES = ("/v1/chat/completions", "/healthz", "/readyz")

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_MODEL = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_PATH = re.compile(r"/[A-Za-z0-9._~/-]{0,255}")


def field_problem(row: ConfigRow) -> str:
    """Return what is wrong with the fields of a row, or an empty string."""
    match row:
        case AccountRow():
            problem = _account(row)
        case ClassRow():
            problem = _class(row)
        case VersionRow():
            problem = _version(row)
        case RolloutRow():
            problem = _rollout(row)
        case RouteRow():
            problem = _route(row)
        case QuarantineRow():
            problem = "it is set by the control hosts"
    return problem


def _account(row: AccountRow) -> str:
    if not _NAME.fullmatch(row.name):
        return "the name may hold letters, digits, '.', '_' and '-'"
    if not _DIGEST.fullmatch(row.key_digest):
        return "key_digest must be 64 lower-case hexadecimal digits"
    if not isfinite(row.share) or row.share <= 0 or row.max_in_flight < 1:
        return "share and max_in_flight must be positive"
    if len(row.models) > MAX_LIST_ITEMS or len(row.services) > MAX_LIST_ITEMS:
        return f"at most {MAX_LIST_ITEMS} models and services are allowed"
    return ""


def _class(row: ClassRow) -> str:
    if not _NAME.fullmatch(row.name):
        return "the name may hold letters, digits, '.', '_' and '-'"
    if not 0 <= row.quality <= 1:
        return "quality must lie between 0 and 1"
    if not isfinite(row.total_ms) or not 0 < row.first_token_ms <= row.total_ms:
        return "0 < first_token_ms <= total_ms must hold"
    if not isfinite(row.cost_per_1k_tokens) or row.cost_per_1k_tokens < 0:
        return "cost_per_1k_tokens must not be negative"
    return ""


def _version(row: VersionRow) -> str:
    if not _MODEL.fullmatch(row.model) or not _NAME.fullmatch(row.version):
        return "model and version may hold letters, digits, '.', '_' and '-'"
    if not isfinite(row.cost_per_1k_tokens) or row.cost_per_1k_tokens < 0:
        return "cost_per_1k_tokens must not be negative"
    if not 0 <= row.prior_quality <= 1:
        return "prior_quality must lie between 0 and 1"
    return ""


def _rollout(row: RolloutRow) -> str:
    if not _NAME.fullmatch(row.name):
        return "the name may hold letters, digits, '.', '_' and '-'"
    steps = list(row.steps)
    if not steps or len(steps) > MAX_STEPS or steps[-1] != 1.0:
        return f"1 to {MAX_STEPS} steps are needed and the last must be 1.0"
    if any(later <= earlier for earlier, later in zip([0.0, *steps], steps, strict=False)):
        return "steps must rise from above 0"
    if not 0 <= row.step_s <= MAX_STEP_S:
        return f"step_s must lie between 0 and {MAX_STEP_S:.0f}"
    if row.from_version == row.to_version:
        return "from_version and to_version must differ"
    return ""


def _route(row: RouteRow) -> str:
    if not _NAME.fullmatch(row.name) or not _NAME.fullmatch(row.service):
        return "name and service may hold letters, digits, '.', '_' and '-'"
    if not _PATH.fullmatch(row.path_prefix):
        return "path_prefix must be a path such as /waivers"
    if any(f"{row.path_prefix}/".startswith(f"{taken}/") for taken in RESERVED_PREFIXES):
        return f"path_prefix {row.path_prefix} is reserved"
    if not row.methods or not HTTP_METHODS.issuperset(row.methods):
        return f"methods must be some of {', '.join(sorted(HTTP_METHODS))}"
    if not 0 < row.timeout_s <= MAX_TIMEOUT_S:
        return f"timeout_s must lie between 0 and {MAX_TIMEOUT_S:.0f}"
    return ""
