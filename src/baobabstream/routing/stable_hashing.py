"""Hashes that are the same at every host and after a restart."""

from xxhash import xxh64_intdigest

__all__ = ["hash_place", "stable_hash"]

HASH_RANGE = 2**64


def stable_hash(text: str) -> int:
    """Return a number of 64 bits that stands for a text."""
    return xxh64_intdigest(text.encode())


def hash_place(text: str) -> float:
    """Return the place of a text between 0 and 1."""
    return stable_hash(text) / HASH_RANGE
