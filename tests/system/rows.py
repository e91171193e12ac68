"""Builds the configuration rows that the system tests store; ``fields`` add or replace fields."""

import hashlib
from typing import Any

__all__ = ["account_row", "class_row", "route_row", "version_row"]


def account_row(name: str, api_key: str, *models: str, **fields: Any) -> dict[str, Any]:
    """Return the row of a client account that may use the given models."""
    key_digest = hashlib.sha256(api_key.encode()).hexdigest()
    row = {"type": "account", "name": name, "key_digest": key_digest, "models": list(models)}
    return row | {"default_class": "question"} | fields


def class_row(name: str = "question") -> dict[str, Any]:
    """Return the row of a class of work whose targets are easy to meet."""
    targets = {"quality": 0.5, "first_token_ms": 2000, "total_ms": 20000}
    return {"type": "class", "name": name} | targets


def version_row(model: str, version: str, **fields: Any) -> dict[str, Any]:
    """Return the row of a model version."""
    row = {"type": "version", "model": model, "version": version, "cost_per_1k_tokens": 0.2}
    return row | fields


def route_row() -> dict[str, Any]:
    """Return the row of the non-idempotent route for signatures, served by ``waiver``."""
    row = {"type": "route", "name": "signatures", "service": "waiver"}
    return row | {"path_prefix": "/waiver/", "idempotent": False, "timeout_s": 5.0}
