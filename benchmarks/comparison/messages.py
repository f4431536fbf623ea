"""Reading and writing of HTTP/1.1 messages by the scripted peers, byte for byte."""

from __future__ import annotations

from dataclasses import dataclass
from typing import BinaryIO

LINE_END = b"\r\n"
PEER_TIMEOUT_S = 20.0  # upper limit of every wait; reached only if a comparison fails


@dataclass(frozen=True, slots=True)
class Message:
    """A message that was read: the bytes of its head, and its body without chunk framing."""

    head: bytes
    body: bytes = b""
    complete: bool = True  # False if the stream ended within the body

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string if there is none."""
        prefix = name.lower().encode() + b":"
        for line in self.head.split(LINE_END)[1:]:
            if line.lower().startswith(prefix):
                return line[len(prefix) :].strip().decode("latin-1")
        return ""

    @property
    def first_line(self) -> str:
        """Return the request line or the status line."""
        return self.head.partition(LINE_END)[0].decode("latin-1")

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


def read_message(file: BinaryIO) -> Message | None:
    """Read a message, which may be truncated; return None at the end of the stream."""
    head = _read_head(file)
    if not head:
        return None
    message = Message(head)
    if message.header("Transfer-Encoding") == "chunked":
        return _read_chunks(head, file)
    length = int(message.header("Content-Length") or "0")
    body = file.read(length)
    return Message(head, body, len(body) == length)


def _read_head(file: BinaryIO) -> bytes:
    head = b""
    while line := file.readline():
        head += line
        if line == LINE_END:
            break
    return head


def _read_chunks(head: bytes, file: BinaryIO) -> Message:
    body = b""
    while size_line := file.readline():
        size = int(size_line, 16)
        body += file.read(size)
        file.readline()
        if size == 0:
            return Message(head, body)
    return Message(head, body, complete=False)


def chunked(body: bytes, chunk_size: int) -> bytes:
    """Return a body in chunked framing, in chunks of the same size."""
    framed = b""
    for start in range(0, len(body), chunk_size):
        chunk = body[start : start + chunk_size]
        framed += b"%x\r\n%s\r\n" % (len(chunk), chunk)
    return framed + b"0\r\n\r\n"


def request(
    request_class: str,
    request_id: str,
    body: bytes | None = None,
    *,
    target: str = "",
    timeout_ms: int = 5000,
    headers: str = "",
    version: str = "1.1",
) -> bytes:
    """Return a client's request: POST with a body, else GET. ``headers`` holds further header lines."""
    method = "GET" if body is None else "POST"
    lines = (
        f"{method} {target or f'/{request_class}/k1'} HTTP/{version}\r\nHost: a\r\n"
        f"Request-Id: {request_id}\r\nRequest-Class: {request_class}\r\nTenant: t\r\n"
        f"Request-Timeout-Ms: {timeout_ms}\r\n{headers}"
    )
    if body is not None and "Transfer-Encoding" not in headers:
        lines += f"Content-Length: {len(body)}\r\n"
    return lines.encode() + LINE_END + (body or b"")


def response(status: int, body: bytes = b"", headers: str = "") -> bytes:
    """Return a response with a Content-Length. ``headers`` holds further header lines."""
    head = f"HTTP/1.1 {status} Text\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body
