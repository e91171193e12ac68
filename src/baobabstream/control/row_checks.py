"""Checks of the fields of each kind of configuration row.

The functions return what is wrong as a sentence for the operator, or an empty string. They look at
one row alone; ``validation`` checks the rows against each other. A model has versions, which model
engines run; a service is a plain one that runs no models. The control hosts store the configuration
and set some of its rows themselves. ``isfinite`` refuses infinities, and NaN, for which a
comparison that detects a wrong value, such as ``share <= 0``, is false.
"""

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

# Number of models, and of services, that a client account may list as those that it may use.
MAX_LIST_ITEMS = 1000
# Longest time limit of a request to a service.
MAX_ROUTE_TIMEOUT_S = 3600.0
MAX_ROLLOUT_STEP_DURATION_S = 7 * 24 * 3600.0
MAX_ROLLOUT_STEPS = 100
HTTP_METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
# Paths that the entry hosts serve themselves, so that no route may begin with them.
RESERVED_PREFIXES = ("/v1/chat/completions", "/healthz", "/readyz")

# Names have at most 128 characters and paths at most 256, the first character included.
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
_MODEL_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}")
# A SHA-256 digest has 64 hexadecimal digits.
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_PATH_PATTERN = re.compile(r"/[A-Za-z0-9._~/-]{0,255}")


def field_problem(row: ConfigRow) -> str:
    """Return what is wrong with the fields of a row that an operator puts, or an empty string.

    A quarantine row is always refused. The control hosts write it for a request that ran on backend
    servers when they failed.
    """
    match row:
        case AccountRow():
            problem = _account_problem(row)
        case ClassRow():
            problem = _class_problem(row)
        case VersionRow():
            problem = _version_problem(row)
        case RolloutRow():
            problem = _rollout_problem(row)
        case RouteRow():
            problem = _route_problem(row)
        case QuarantineRow():
            problem = "it is set by the control hosts"
    return problem


def _account_problem(row: AccountRow) -> str:
    """Check the name, key digest, limits and lists of a client account.

    ``key_digest`` is the SHA-256 digest of the account's API key, by which its requests are
    recognised. ``share`` is the account's weight in fair queueing: of two accounts with waiting
    requests, one with twice the weight is served twice as much. ``max_in_flight`` is the largest
    number of its requests that may be open at once. ``models`` and ``services`` list what the
    account may use.
    """
    if not _NAME_PATTERN.fullmatch(row.name):
        return "the name may hold letters, digits, '.', '_' and '-'"
    if not _DIGEST_PATTERN.fullmatch(row.key_digest):
        return "key_digest must be 64 lower-case hexadecimal digits"
    if not isfinite(row.share) or row.share <= 0 or row.max_in_flight < 1:
        return "share and max_in_flight must be positive"
    if len(row.models) > MAX_LIST_ITEMS or len(row.services) > MAX_LIST_ITEMS:
        return f"at most {MAX_LIST_ITEMS} models and services are allowed"
    return ""


def _class_problem(row: ClassRow) -> str:
    """Check the name and the targets of a class of work, which groups requests with equal targets.

    ``quality`` is the least fraction (0 to 1) of answers rated good. ``first_token_ms`` and
    ``total_ms`` are the longest times in milliseconds until the first token and the whole answer.
    ``cost_per_1k_tokens`` is the most that 1,000 output tokens may cost; 0 means no limit.
    """
    if not _NAME_PATTERN.fullmatch(row.name):
        return "the name may hold letters, digits, '.', '_' and '-'"
    if not 0 <= row.quality <= 1:
        return "quality must lie between 0 and 1"
    if not isfinite(row.total_ms) or not 0 < row.first_token_ms <= row.total_ms:
        return "0 < first_token_ms <= total_ms must hold"
    if not isfinite(row.cost_per_1k_tokens) or row.cost_per_1k_tokens < 0:
        return "cost_per_1k_tokens must not be negative"
    return ""


def _version_problem(row: VersionRow) -> str:
    """Check the names, cost and prior quality of a model version.

    ``cost_per_1k_tokens`` is the cost of 1,000 output tokens. ``prior_quality`` is the expected
    fraction (0 to 1) of good answers before there are any ratings.
    """
    if not _MODEL_PATTERN.fullmatch(row.model) or not _NAME_PATTERN.fullmatch(row.version):
        return "model and version may hold letters, digits, '.', '_' and '-'"
    if not isfinite(row.cost_per_1k_tokens) or row.cost_per_1k_tokens < 0:
        return "cost_per_1k_tokens must not be negative"
    if not 0 <= row.prior_quality <= 1:
        return "prior_quality must lie between 0 and 1"
    return ""


def _rollout_problem(row: RolloutRow) -> str:
    """Check the name, traffic shares, step duration and versions of a rollout.

    A rollout replaces ``from_version`` of a model by ``to_version``. ``steps`` are the fractions of
    the traffic that the new version gets one after another; each lasts ``step_s`` seconds. The last
    is 1.0, so that the new version gets all traffic.
    """
    if not _NAME_PATTERN.fullmatch(row.name):
        return "the name may hold letters, digits, '.', '_' and '-'"
    steps = list(row.steps)
    if not steps or len(steps) > MAX_ROLLOUT_STEPS or steps[-1] != 1.0:
        return f"1 to {MAX_ROLLOUT_STEPS} steps are needed and the last must be 1.0"
    # Pairs each step with the one before it, and the first with 0. The first list is one longer;
    # with ``strict=False``, its last step is left out.
    if any(later <= earlier for earlier, later in zip([0.0, *steps], steps, strict=False)):
        return "steps must rise from above 0"
    if not 0 <= row.step_s <= MAX_ROLLOUT_STEP_DURATION_S:
        return f"step_s must lie between 0 and {MAX_ROLLOUT_STEP_DURATION_S:.0f}"
    if row.from_version == row.to_version:
        return "from_version and to_version must differ"
    return ""


def _route_problem(row: RouteRow) -> str:
    """Check the fields of a route, which sends requests to a service by path and HTTP method.

    A request takes the route if its path begins with ``path_prefix`` and its method is one of
    ``methods``. ``timeout_s`` is the time limit in seconds of the service's answer.
    """
    if not _NAME_PATTERN.fullmatch(row.name) or not _NAME_PATTERN.fullmatch(row.service):
        return "name and service may hold letters, digits, '.', '_' and '-'"
    if not _PATH_PATTERN.fullmatch(row.path_prefix):
        return "path_prefix must be a path such as /waivers"
    # With the added slashes, only whole segments of the path are compared.
    if any(
        f"{row.path_prefix}/".startswith(f"{reserved_prefix}/")
        for reserved_prefix in RESERVED_PREFIXES
    ):
        return f"path_prefix {row.path_prefix} is reserved"
    if not row.methods or not HTTP_METHODS.issuperset(row.methods):
        return f"methods must be some of {', '.join(sorted(HTTP_METHODS))}"
    if not 0 < row.timeout_s <= MAX_ROUTE_TIMEOUT_S:
        return f"timeout_s must lie between 0 and {MAX_ROUTE_TIMEOUT_S:.0f}"
    return ""
