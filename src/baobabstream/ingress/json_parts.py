"""Estimates the memory of a JSON text in decoded form, before it is decoded.

A text of very many short values takes a large multiple of its size once it is decoded.
"""

import re
from itertools import islice

__all__ = ["count_json_parts"]

# A string with its quotes, or one that does not end, or a comma or opening bracket outside strings.
# The quantifiers are possessive, so that no text takes more than linear time.
_PARTS = re.compile(rb'"(?:[^"\\]++|\\.)*+"?|[,\[{]', re.DOTALL)


def count_json_parts(text: bytes, max_count: int) -> int:
    """Return the number of strings, commas and opening brackets in a text, up to a limit.

    No text has more values and keys than twice this number and one. Beyond ``max_count`` the result
    is ``max_count + 1``, whatever follows.
    """
    return sum(1 for _ in islice(_PARTS.finditer(text), max_count + 1))
