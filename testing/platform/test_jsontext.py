"""Decoding of JSON text, parts of which do not decode."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboolever.platform.errors import AdapterError
from bamboolever.platform.jsontext import MAX_DEPTH, decode_json, decode_json_members

UNDECODABLE_VALUES = [
    b"[" * 3000 + b"]" * 3000,
    b"[" * 900 + b"]" * 900,
    b'{"a":' * 3000 + b"1" + b"}" * 3000,
    b"9" * 5000,
    b"nothing",
    b"{,}",
]
_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=3), children, max_size=4)
    ),
    max_leaves=12,
)


@pytest.mark.parametrize("value", UNDECODABLE_VALUES)
def test_body_that_does_not_decode_raises_adapter_error(value):
    with pytest.raises(AdapterError):
        decode_json(value)


def test_deepest_accepted_value_is_decoded():
    text = b"[" * MAX_DEPTH + b"]" * MAX_DEPTH
    assert decode_json(text) == json.loads(text)
    with pytest.raises(AdapterError):
        decode_json(b"[" + text + b"]")


@pytest.mark.parametrize("value", UNDECODABLE_VALUES)
def test_member_that_does_not_decode_leaves_the_others(value):
    text = b'{"a": [1, {"b": %s, "c": "]},\\\\"}, "x"], "d": 2}' % value
    content = decode_json_members(text, 3)
    first, second, third = content["a"]
    assert (first, third, content["d"]) == (1, "x", 2)
    assert second["c"] == "]},\\"
    assert set(second) == {"b", "c"}


@pytest.mark.parametrize(
    "text", [b"", b"{", b"[1, 2", b'{"a": "x', b"1]", b"{} 1", b"[" * 9000]
)
def test_incomplete_text_raises_adapter_error(text):
    with pytest.raises(AdapterError):
        decode_json_members(text, 3)


@pytest.mark.parametrize("name", [b"[1]", b"{}", b"7", b'"\\x"', b"9" * 5000])
def test_member_whose_name_does_not_decode_is_left_out(name):
    content = decode_json_members(b'{"a": 1, %s: 2, "b": 3}' % name, 1)
    assert content == {"a": 1, "b": 3}


@given(st.binary(max_size=60) | st.text('[]{}",:1\\', max_size=40).map(str.encode))
def test_any_bytes_decode_or_raise_adapter_error(data):
    for decode in (decode_json, lambda text: decode_json_members(text, 3)):
        try:
            decode(data)
        except AdapterError:
            pass


@given(_VALUES, _VALUES)
def test_sound_members_are_decoded_beside_one_that_is_not(first, second):
    text = json.dumps([[first], "gap", {"x": second}]).replace('"gap"', "9" * 5000)
    assert decode_json_members(text.encode(), 3) == [[first], None, {"x": second}]
