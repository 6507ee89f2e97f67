import pytest

from bamboolever.net.numbers import parse_whole_number


@pytest.mark.parametrize(
    ("text", "expected"),
    [(b"0", 0), (b" 17 ", 17), (b"9" * 18, 10**18 - 1)],
)
def test_whole_number_is_parsed(text, expected):
    assert parse_whole_number(text) == expected


@pytest.mark.parametrize(
    "text",
    [None, b"", b"-1", b"+1", b"1.0", b"1_0", "²".encode(), b"9" * 19, b"9" * 5000],
)
def test_any_other_text_is_no_whole_number(text):
    assert parse_whole_number(text) is None
