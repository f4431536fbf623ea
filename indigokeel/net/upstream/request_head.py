"""The head of a request to an upstream, in two parts: before and after the value of its timeout."""

from __future__ import annotations

from indigokeel.net.messages import OutboundRequest


def head_before_timeout(outbound: OutboundRequest, host: bytes) -> bytes:
    """Return the head up to the value of ``Request-Timeout-Ms``."""
    return b"%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: " % (
        outbound.method,
        outbound.target,
        host,
        outbound.id,
    )


def head_after_timeout(outbound: OutboundRequest) -> bytes:
    """Return the rest of the head, after the value of ``Request-Timeout-Ms``."""
    head = b"\r\n" if outbound.key is None else b"\r\nIdempotency-Key: %s\r\n" % outbound.key
    request_stream = outbound.request_stream
    if request_stream is not None and request_stream.length < 0:
        head += b"Transfer-Encoding: chunked\r\n"
    elif outbound.has_body:
        length = request_stream.length if request_stream else sum(map(len, outbound.body))
        head += b"Content-Length: %d\r\n" % length
    return head + b"\r\n"
