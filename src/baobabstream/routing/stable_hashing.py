"""Hashes of texts that are the same at every host and after a restart.

Hosts use them to make equal decisions without asking each other. Python's own hash of a text
differs between processes.
"""

from xxhash import xxh3_128_hexdigest, xxh64_intdigest

__all__ = ["hash_fraction", "short_key", "stable_hash"]

# Number of different values of a 64-bit hash.
HASH_RANGE = 2**64
# Longest text that is its own key.
MAX_KEY_LENGTH = 64


def stable_hash(text: str) -> int:
    """Return the 64-bit hash of a text (XXH64 of its UTF-8 bytes), 0 to 2**64 - 1."""
    return xxh64_intdigest(text.encode())


def hash_fraction(text: str) -> float:
    """Return the hash of a text scaled to the range from 0 to 1.

    Texts that differ give fractions that are spread evenly, so a fraction below 0.1 selects about a
    tenth of them.
    """
    return stable_hash(text) / HASH_RANGE


def short_key(text: str) -> str:
    """Return a text itself if it is short, else a hash of it (XXH3, 128 bits).

    What callers name is remembered by this key, so that long names take no memory.
    """
    return text if len(text) <= MAX_KEY_LENGTH else xxh3_128_hexdigest(text.encode())
