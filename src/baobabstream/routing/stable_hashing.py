"""Hashes of texts that are the same at every host and after a restart.

Hosts use them to make equal decisions without asking each other. Python's own hash of a text
differs between processes.
"""

from xxhash import xxh64_intdigest

__all__ = ["hash_fraction", "stable_hash"]

# Number of different values of a 64-bit hash.
HASH_RANGE = 2**64


def stable_hash(text: str) -> int:
    """Return the 64-bit hash of a text (XXH64 of its UTF-8 bytes), 0 to 2**64 - 1."""
    return xxh64_intdigest(text.encode())


def hash_fraction(text: str) -> float:
    """Return the hash of a text scaled to the range from 0 to 1.

    Texts that differ give fractions that are spread evenly, so a fraction below 0.1 selects about a
    tenth of them.
    """
    return stable_hash(text) / HASH_RANGE
