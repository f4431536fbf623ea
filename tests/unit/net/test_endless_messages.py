"""Tests that no part of a message makes its parser hold more than a limit, however much the peer sends."""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import Callable, Iterator
from typing import cast

import pytest

from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import EndpointListError
from indigokeel.net import http
from indigokeel.net.discovery import _DiscoveryResponse
from indigokeel.net.downstream.request_parser import RequestParser, RequestParserHandler
from indigokeel.net.streams import RequestStream, RequestStreamSource
from indigokeel.net.upstream.response_parser import InvalidResponseError, ResponseParser
from tests.peers import SETTINGS, request

READ_BYTES = 16 * 1024
MAX_SENT_BYTES = http.MAX_HEAD + 3 * READ_BYTES  # the limit, the read that exceeds it, and two before it

Section = Callable[[], Iterator[bytes]]

RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n"
REQUEST = request("pay", b"").replace(b"Content-Length: 0\r\n\r\n", RESPONSE.partition(b"\r\n")[2])


def fields() -> Iterator[bytes]:
    """Yield header fields without end."""
    for start in itertools.count(0, 1000):
        yield b"".join(b"x-%x: 1\r\n" % number for number in range(start, start + 1000))


def repeated(first: bytes, rest: bytes = b"v" * READ_BYTES) -> Section:
    """Return a section that goes on with the same bytes."""
    return lambda: itertools.chain([first], itertools.repeat(rest))


ENDLESS_SECTIONS = {
    "trailer fields": lambda: itertools.chain([b"0\r\n"], fields()),
    "a trailer field": repeated(b"0\r\nx: "),
    "the name of a trailer field": repeated(b"0\r\nx"),
    "a chunk extension": repeated(b"4;"),
    "a chunk size": repeated(b"0", b"0" * READ_BYTES),
}
ENDLESS_HEADS = {
    "head fields": (b"HTTP/1.1 200 OK\r\n", fields),
    "a head field": (b"HTTP/1.1 200 OK\r\nx: ", repeated(b"")),
    "interim responses": (b"", repeated(b"", b"HTTP/1.1 103 Hints\r\n\r\n" * 700)),
}


class IgnoringHandler:
    """A handler of the request parser that ignores all callbacks."""

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: None


def make_request_parser() -> RequestParser:
    """Return a parser whose callbacks are ignored."""
    settings = decode_settings(SETTINGS)
    return RequestParser(cast(RequestParserHandler, IgnoringHandler()), lambda name: settings)


def bytes_until_rejected(
    feed: Callable[[bytes], None], start: bytes, section: Section, error: type[Exception]
) -> int:
    """Feed the start of a message and then its section until the error; return the bytes fed."""
    sent = 0
    with pytest.raises(error):
        for data in itertools.chain([start], section()):
            feed(data)
            sent += len(data)
            assert sent < 10 * MAX_SENT_BYTES, "no limit"
    return sent


@pytest.mark.parametrize("section", ENDLESS_SECTIONS.values(), ids=ENDLESS_SECTIONS)
def test_endless_section_of_a_response_is_rejected(section: Section) -> None:
    """Guards against a response whose trailer section goes on until the process is out of memory."""
    parser = ResponseParser()
    assert bytes_until_rejected(parser.feed, RESPONSE, section, InvalidResponseError) < MAX_SENT_BYTES


@pytest.mark.parametrize("section", ENDLESS_SECTIONS.values(), ids=ENDLESS_SECTIONS)
def test_endless_section_of_a_request_is_rejected(section: Section) -> None:
    """Guards against a request whose trailer section goes on until the process is out of memory."""
    parser = make_request_parser()
    assert bytes_until_rejected(parser.feed, REQUEST, section, http.RequestError) < MAX_SENT_BYTES


@pytest.mark.parametrize(
    ("start", "section"),
    [*ENDLESS_HEADS.values(), *((RESPONSE, section) for section in ENDLESS_SECTIONS.values())],
    ids=[*ENDLESS_HEADS, *ENDLESS_SECTIONS],
)
def test_endless_section_of_a_response_of_discovery_is_rejected(start: bytes, section: Section) -> None:
    """Guards against a response of discovery without end, which the time limit of a line alone would end."""

    async def read() -> None:
        reader = asyncio.StreamReader()
        for data in itertools.chain([start], itertools.islice(section(), 100)):
            reader.feed_data(data)
        response = _DiscoveryResponse(reader)
        await response.read_head()
        async for _ in response.lists():
            pass

    with pytest.raises(EndpointListError, match="too large"):
        asyncio.run(read())


def test_legal_trailer_section_is_accepted() -> None:
    """Guards against a limit that rejects messages with ordinary trailer fields and chunk extensions."""
    end = b"4;ext=1\r\nsold\r\n0;last\r\n" + b"Trailer: " + b"v" * 8000 + b"\r\n\r\n"
    for size in (1, 5000, len(end)):
        response = ResponseParser()
        parser = make_request_parser()
        for start in range(0, len(end), size):
            response.feed((b"" if start else RESPONSE) + end[start : start + size])
            parser.feed((b"" if start else REQUEST) + end[start : start + size])
        assert response.complete and b"".join(response.body) == b"\nsold"
        assert parser.messages_parsed == 1


def stored_bytes(body: http.Body) -> int:
    """Return the memory that a body takes."""
    return sys.getsizeof(body) + sum(map(sys.getsizeof, body))


@pytest.mark.parametrize("chunk", [b"2\r\nab\r\n", b"1\r\na\r\n"])
def test_body_in_many_small_chunks_takes_little_more_than_its_size(chunk: bytes) -> None:
    """Guards against bodies of 64 KiB that take 2 MB each, on each connection of a bad client or upstream."""
    chunks = chunk * (60_000 // int(chunk[:1]))
    error = ResponseParser()
    error.feed(RESPONSE.replace(b"200", b"500"))
    error.feed(chunks)
    receiver = IgnoringHandler()
    request_stream = RequestStream(cast(RequestStreamSource, receiver), -1, [])
    for _ in range(60_000 // int(chunk[:1])):
        request_stream.add(chunk[3:-2])
    for body in (error.body, request_stream.buffered()):
        assert sum(map(len, body)) >= 60_000 and stored_bytes(body) < 70_000
