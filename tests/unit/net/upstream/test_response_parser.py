"""Parsing of responses that arrive in parts, and the detection of their end."""

from __future__ import annotations

import os

import pytest

from indigokeel.balancing.events import LoadReport
from indigokeel.net import http
from indigokeel.net.upstream.response_parser import InvalidResponseError, ResponseParser

BODY = os.urandom(3000)


@pytest.mark.parametrize("size", [1, 3, 7, 100, 5000])
def test_chunked_response_in_parts_of_any_size_leaves_the_connection_reusable(size: int) -> None:
    raw = b"HTTP/1.1 200 OK \r\nServer-Load:  util=0.5 \r\nTransfer-Encoding: \t chunked \r\n\r\n"
    raw += b"".join(http.encode_chunk([BODY], False)) + b"0\r\n\r\n"
    parser = ResponseParser()
    for start in range(0, len(raw), size):
        parser.feed(raw[start : start + size])
    assert parser.complete and parser.is_reusable
    parsed = parser.response()
    assert b"".join(parsed.body or []) == BODY and parsed.load == LoadReport(utilisation=0.5)


def test_response_without_a_length_must_announce_the_close() -> None:
    parser = ResponseParser()
    with pytest.raises(InvalidResponseError):
        parser.feed(b"HTTP/1.1 200 OK\r\nServer-Load: util=1\r\n\r\nbody")
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nbody")
    assert not parser.complete and parser.feed_eof() and not parser.is_reusable
