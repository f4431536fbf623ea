"""HTTP/1.1: bounds, heads to write, load reports, and what both sides ask of a socket.

The messages themselves are read by httptools (llhttp), which is strict: it takes no message with two
lengths, none with a length that is no number, and none whose head holds what no head may.
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

from indigokeel.config.load_report_fields import LOAD_REPORT_FIELDS

MAX_HEAD = 16 * 1024  # bytes of a message's head
MAX_BODY = 64 * 1024  # bytes of a body that is read whole; a longer one passes in pieces
MOST_BODY = 40 << 20  # bytes of a request's body: operators announce 32 MB

Body = list[bytes]  # the pieces of a body as they were read

# What a figure may be at most: past it the report was spoilt on its way, and it is taken for missing.
# Utilisation may stand a little over 1, for reports are noisy.
_LOAD_MOST = {"utilisation": 2.0, "error_rate": 1e5, "latency": 1e6}
_LOAD_MOST_ELSE = 1e5


_LINES = {s.value: b"HTTP/1.1 %d %s\r\n" % (s.value, s.phrase.encode()) for s in HTTPStatus}


def readable(fd: int) -> bool:
    """Whether a read would find something now: bytes, or the end of the stream."""
    return _polled(fd, select.POLLIN)


def hung_up(fd: int) -> bool:
    """Whether the peer has closed its side or reset the connection, whatever can be read before that."""
    return _polled(fd, select.POLLRDHUP)


def _polled(fd: int, events: int) -> bool:
    """Whether the system tells any of some events, or an error, now. One that has no memory to look with
    tells nothing: what is asked here is asked again."""
    poll = select.poll()
    poll.register(fd, events)
    try:
        return bool(poll.poll(0))
    except OSError:
        return False


def unsent(fd: int) -> int:
    """Bytes that were written and that the peer's system has not got yet: a reset would lose them."""
    try:
        return int.from_bytes(fcntl.ioctl(fd, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
    except OSError:  # it is gone, and they with it
        return 0


class RequestError(Exception):
    """A message that cannot be taken; ``status`` is what its sender is told."""

    def __init__(self, status: int, why: str) -> None:
        super().__init__(why)
        self.status = status

    @classmethod
    def of(cls, error: Exception) -> RequestError:
        """What the parser's error says: one that a callback has raised goes before the parser's own word."""
        cause = error.__context__
        return cause if isinstance(cause, cls) else cls(400, str(error))


def one_framing(headers: Mapping[bytes, bytes]) -> None:
    """Refuse a message that says in two ways where it ends, whatever the parser takes. Guards against the
    smuggled request: an upstream may let the other length win, and find a second request inside the body."""
    if b"content-length" in headers and b"transfer-encoding" in headers:
        raise RequestError(400, "both Content-Length and Transfer-Encoding")


def head(status: int, length: int, retry_after_s: float = 0.0, close: bool = False) -> bytes:
    """An answer's head; ``length`` of the body in bytes, -1: in chunks."""
    found = b"Content-Length: %d\r\n" % length if length >= 0 else b"Transfer-Encoding: chunked\r\n"
    if retry_after_s > 0.0:
        found += b"Retry-After: %.3f\r\n" % retry_after_s
    return _LINES[status] + found + (b"Connection: close\r\n\r\n" if close else b"\r\n")


def response(status: int, body: Body, retry_after_s: float = 0.0, close: bool = False) -> list[bytes]:
    """A whole answer, head first."""
    return [head(status, sum(map(len, body)), retry_after_s, close), *body]


def chunk(pieces: Sequence[bytes], last: bool) -> list[bytes]:
    """Pieces of a body as one chunk; and, after the ``last``, the end."""
    size = sum(map(len, pieces))
    framed = [b"%x\r\n" % size, *pieces, b"\r\n"] if size else []
    return [*framed, b"0\r\n\r\n"] if last else framed


def host(address: tuple[str, int]) -> bytes:
    return f"{address[0]}:{address[1]}".encode()


@lru_cache(256)  # upstreams refresh their report now and then, and many answers carry the same
def load_figures(text: str | None) -> dict[str, float] | None:
    """Read a load report, ``name=value,name=value``. What is missing, -1, no number or absurd stays
    missing. The same text gives the same dictionary: nobody changes it."""
    if not text:
        return None
    figures: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        known = LOAD_REPORT_FIELDS.get(name.strip())
        if known is None:
            continue
        try:
            figure = float(value)
        except ValueError:
            continue
        if math.isfinite(figure) and 0.0 <= figure <= _LOAD_MOST.get(known, _LOAD_MOST_ELSE):
            figures[known] = figure / 1000.0 if known == "latency" else figure
    return figures or None


def bind(address: tuple[str, int], inherited: int = -1) -> socket.socket:
    """The socket to listen on: a new one, or the platform's own by its descriptor, as it is. Raises OSError
    where that is closed or no socket that listens."""
    if inherited >= 0:
        try:
            sock = socket.socket(fileno=inherited)
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError:
            listens = 0
        if not listens:
            raise OSError(errno.ENOTSOCK, f"descriptor {inherited} is no socket that listens")
        sock.setblocking(False)
        return sock
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind(address)
    return sock
