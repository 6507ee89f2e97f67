"""The list of the platform's headers, and those that this version does not know."""

import re
from pathlib import Path

import pytest

from bamboolever.net.messages import ResponseHead
from bamboolever.platform import calls, names

PAGES = Path(__file__).parents[3] / "given" / "kit" / "more"
HEADER = re.compile(r"`((?:Bamboolever|Server|Store)-[A-Za-z]+(?:-[A-Za-z]+)*)`")


def _make_head(*headers):
    return ResponseHead(200, headers)


def test_each_unused_header_has_a_reason():
    assert all(names.UNUSED_HEADERS.values())
    assert not names.USED_HEADERS & names.UNUSED_HEADERS.keys()


@pytest.mark.skipif(not PAGES.exists(), reason="needs the platform's pages")
def test_each_header_of_the_pages_is_used_or_left_out_for_a_reason():
    """Guards against incident LIMIT: nothing read a header that was new."""
    named = {
        header.encode()
        for page in PAGES.rglob("*.md")
        for header in HEADER.findall(page.read_text())
    }
    assert named - names.USED_HEADERS - names.UNUSED_HEADERS.keys() == set()


def test_header_of_the_platform_that_is_not_known_is_found():
    head = _make_head(
        (b"Server-News", b"1"), (b"bamboolever-news", b"2"), (b"Store-News", b"3")
    )
    assert calls.find_unknown_headers(head) == list(head.headers)


def test_known_headers_and_those_of_others_are_not_unknown():
    head = _make_head(
        *((name, b"1") for name in names.USED_HEADERS),
        *((name.upper(), b"1") for name in names.UNUSED_HEADERS),
        (b"Content-Type", b"text/plain"),
        (b"Server", b"x"),
    )
    assert calls.find_unknown_headers(head) == []
