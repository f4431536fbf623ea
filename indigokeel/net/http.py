"""HTTP/1.1 for the client side and the upstream side: limits, heads, load reports, and socket queries.

httptools (llhttp) parses the messages in its strict mode, which rejects a message with two lengths, with a
length that is not a number, or with invalid characters in its head.
"""

from __future__ import annotations

import errno
import fcntl
import math
import select
import socket
import sys
import termios
from collections.abc import Mapping, Sequence
from functools import lru_cache
from http import HTTPStatus

from indigokeel.balancing.events import LoadReport
from indigokeel.config.load_report_fields import LOAD_REPORT_FIELDS

MAX_HEAD = 16 * 1024  # bytes of the head of a message
MAX_BUFFERED_BODY = 64 * 1024  # bytes of a body that is buffered whole; a longer one is streamed
MAX_REQUEST_BODY = 40 << 20  # bytes of the body of a request; a longer one is rejected

Body = list[bytes]  # the parts of a body

_MAX_BODY_PARTS = 64  # that are stored; more are joined, because many small ones cost memory

# A figure over its limit counts as missing. Utilisation is noisy and may slightly exceed 1.
_MAX_LOAD = {"utilisation": 2.0, "error_rate": 1e5, "latency": 1e6}  # latency in ms
_MAX_OTHER_LOAD = 1e5
_LOAD_CACHE_SIZE = 256  # upstreams repeat the same report in many responses
_MAX_CACHED_LOAD_CHARS = 256  # of a report; a longer one is parsed each time, so that the cache stays small
_MS_PER_S = 1000.0

_STATUS_LINES = {s.value: b"HTTP/1.1 %d %s\r\n" % (s.value, s.phrase.encode()) for s in HTTPStatus}


def is_readable(fd: int) -> bool:
    """Return whether data or the end of the stream can be read without blocking."""
    return _has_event(fd, select.POLLIN)


def peer_has_disconnected(fd: int) -> bool:
    """Return whether the peer has closed its side or reset the connection, even if unread data remains."""
    return _has_event(fd, select.POLLRDHUP)


def _has_event(fd: int, events: int) -> bool:
    """Return whether poll(2) reports any of the events or an error; False if the poll itself fails."""
    poll = select.poll()
    poll.register(fd, events)
    try:
        return bool(poll.poll(0))
    except OSError:
        return False


def unacknowledged_bytes(fd: int) -> int:
    """Return the number of written bytes that the peer has not acknowledged yet (TCP)."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:  # the connection is closed
        return 0


class RequestError(Exception):
    """A request that is rejected; ``status`` is the HTTP status of the response."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status

    @classmethod
    def from_parser_error(cls, error: Exception) -> RequestError:
        """Return the error raised in a callback of the parser, or one with status 400 for a parse error."""
        cause = error.__context__
        return cause if isinstance(cause, cls) else cls(400, str(error))


def check_framing(headers: Mapping[bytes, bytes]) -> None:
    """Raise RequestError if a message states its length in two ways.

    An upstream that prefers the other length would find a second request in the body (request smuggling).
    """
    if b"content-length" in headers and b"transfer-encoding" in headers:
        raise RequestError(400, "both Content-Length and Transfer-Encoding")


def format_response_head(status: int, length: int, retry_after_s: float = 0.0, close: bool = False) -> bytes:
    """Return the head of a response; ``length`` is the size of the body in bytes, or -1 if it is chunked."""
    headers = b"Content-Length: %d\r\n" % length if length >= 0 else b"Transfer-Encoding: chunked\r\n"
    if retry_after_s > 0.0:
        headers += b"Retry-After: %.3f\r\n" % retry_after_s
    return _STATUS_LINES[status] + headers + (b"Connection: close\r\n\r\n" if close else b"\r\n")


def format_response(status: int, body: Body, retry_after_s: float = 0.0, close: bool = False) -> list[bytes]:
    """Return a complete response, its head first."""
    return [format_response_head(status, sum(map(len, body)), retry_after_s, close), *body]


def append_part(body: Body, data: bytes) -> None:
    """Append received bytes to a body."""
    body.append(data)
    if len(body) >= _MAX_BODY_PARTS:
        body[:] = [b"".join(body)]


def encode_chunk(pieces: Sequence[bytes], last: bool) -> list[bytes]:
    """Return parts of a body encoded as one chunk, followed by the terminating chunk if ``last``."""
    size = sum(map(len, pieces))
    framed = [b"%x\r\n" % size, *pieces, b"\r\n"] if size else []
    return [*framed, b"0\r\n\r\n"] if last else framed


def format_host(address: tuple[str, int]) -> bytes:
    """Return an address as the value of a ``Host`` header."""
    return f"{address[0]}:{address[1]}".encode()


def parse_load_report(text: str | None) -> LoadReport | None:
    """Parse a load report, ``name=value,name=value``; latency is converted to seconds.

    Negative, invalid and excessive figures are dropped. Return None if no figure is left. Results are cached
    and must not be modified.
    """
    if not text:
        return None
    return _parse_load_report(text) if len(text) > _MAX_CACHED_LOAD_CHARS else _cached_load_report(text)


@lru_cache(_LOAD_CACHE_SIZE)
def _cached_load_report(text: str) -> LoadReport | None:
    return _parse_load_report(text)


def _parse_load_report(text: str) -> LoadReport | None:
    figures: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        field = LOAD_REPORT_FIELDS.get(name.strip())
        if field is None:
            continue
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure) and 0.0 <= figure <= _MAX_LOAD.get(field, _MAX_OTHER_LOAD):
            figures[field] = figure / _MS_PER_S if field == "latency" else figure
    return LoadReport(**figures) if figures else None


def bind(address: tuple[str, int], inherited: int = -1) -> socket.socket:
    """Return a non-blocking socket to listen on: a new one, or the one of the ``inherited`` descriptor.

    Raises OSError if the address cannot be bound or the descriptor is not a listening socket.
    """
    if inherited >= 0:
        return _inherited_listener(inherited)
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    return sock


def _inherited_listener(fd: int) -> socket.socket:
    try:
        sock = socket.socket(fileno=fd)
        is_listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        is_listening = 0
    if not is_listening:
        raise OSError(errno.ENOTSOCK, f"descriptor {fd} is no socket that listens")
    sock.setblocking(False)
    return sock
