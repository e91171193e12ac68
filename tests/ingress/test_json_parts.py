"""Tests the count that bounds the memory of decoded JSON texts."""

from json import dumps

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabstream.ingress.json_parts import count_json_parts

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda children: st.lists(children) | st.dictionaries(st.text(), children),
)


def count_values(value) -> int:
    """Return the number of values and keys in a decoded JSON text."""
    if isinstance(value, dict):
        return 1 + len(value) + sum(map(count_values, value.values()))
    if isinstance(value, list):
        return 1 + sum(map(count_values, value))
    return 1


@given(VALUES, st.booleans())
def test_count_bounds_the_values(value, ensures_ascii):
    """Guards against texts whose decoded form has more values than the count allows."""
    text = dumps(value, ensure_ascii=ensures_ascii).encode()
    assert count_values(value) <= 2 * count_json_parts(text, 10**9) + 1


@pytest.mark.parametrize(
    ("text", "count"),
    [
        (b"", 0),
        (b"7", 0),
        (b'"a,[{"', 1),
        (rb'"\\",[{}]', 4),
        (rb'"\",[{\\\""', 1),
        (b'["a', 2),
        (b'{"a":[1,2]}', 4),
        (b'"' + b"\\n" * 1_000_000, 1),
    ],
)
def test_text_inside_strings_does_not_count(text, count):
    """Guards against long texts with commas or brackets that would be refused for them."""
    assert count_json_parts(text, 100) == count


def test_count_ends_at_its_limit():
    """Guards against a large text that holds up the process while it is counted to the end."""
    assert count_json_parts(b"[" * 1000, 10) == 11
