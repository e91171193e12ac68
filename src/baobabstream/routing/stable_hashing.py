"""Hashes of texts that are the same at every host and after a restart."""

from xxhash import xxh64_intdigest

__all__ = ["hash_fraction", "stable_hash"]

# Number of different values of a 64-bit hash.
HASH_RANGE = 2**64


def stable_hash(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxh64_intdigest(text.encode())


def hash_fraction(text: str) -> float:
    """Return the hash of a text scaled to the range from 0 to 1."""
    return stable_hash(text) / HASH_RANGE
