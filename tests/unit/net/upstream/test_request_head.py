"""The bytes of a request's head, before and after the value of its timeout."""

from __future__ import annotations

import pytest

from indigokeel.net.messages import OutboundRequest
from indigokeel.net.streams import RequestStream
from indigokeel.net.upstream.request_head import head_after_timeout, head_before_timeout
from tests.unit.net.test_streams import StreamEnds


def test_head_before_the_timeout_has_target_host_and_request_id() -> None:
    outbound = OutboundRequest(b"GET", b"/view/k", b"r-1", None, [], False)
    assert head_before_timeout(outbound, b"127.0.0.1:3001") == (
        b"GET /view/k HTTP/1.1\r\nHost: 127.0.0.1:3001\r\nRequest-Id: r-1\r\nRequest-Timeout-Ms: "
    )


@pytest.mark.parametrize(
    ("key", "body", "has_body", "expected"),
    [
        (None, [], False, b"\r\n\r\n"),
        (None, [], True, b"\r\nContent-Length: 0\r\n\r\n"),
        (None, [b"ab", b"c"], True, b"\r\nContent-Length: 3\r\n\r\n"),
        (b"k-1", [b"ab"], True, b"\r\nIdempotency-Key: k-1\r\nContent-Length: 2\r\n\r\n"),
    ],
)
def test_head_after_the_timeout_has_idempotency_key_and_content_length(
    key: bytes | None, body: list[bytes], has_body: bool, expected: bytes
) -> None:
    assert head_after_timeout(OutboundRequest(b"POST", b"/pay/k", b"1", key, body, has_body)) == expected


@pytest.mark.parametrize(
    ("length", "expected"),
    [(-1, b"\r\nTransfer-Encoding: chunked\r\n\r\n"), (70_000, b"\r\nContent-Length: 70000\r\n\r\n")],
)
def test_head_of_a_streamed_request_has_the_framing_of_the_client(length: int, expected: bytes) -> None:
    outbound = OutboundRequest(b"POST", b"/pay/k", b"1", None, [], True)
    outbound.request_stream = RequestStream(StreamEnds(), length, [b"ab"])
    assert head_after_timeout(outbound) == expected
