"""HTTP/1.1 messages as the scripted peers write and read them, byte for byte."""

from __future__ import annotations

from dataclasses import dataclass
from typing import BinaryIO

LINE_END = b"\r\n"
PEER_TIMEOUT_S = 20.0  # for anything that is waited for; only a failing comparison waits as long


@dataclass(frozen=True, slots=True)
class Message:
    """One message as it was read: the bytes of its head, and its body without the framing of chunks."""

    head: bytes
    body: bytes = b""
    whole: bool = True  # else it breaks off within its body

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string where there is none."""
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
    """Read one message, or return None at the end of the stream; one that breaks off is returned as it is."""
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
    return Message(head, body, whole=False)


def chunked(body: bytes, chunk_size: int) -> bytes:
    """Return a body framed in chunks of one size."""
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
    """Return a response with its length. ``headers`` holds further header lines."""
    head = f"HTTP/1.1 {status} Text\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body
