"""HTTP/1.1 messages on raw sockets, as clients and port servers need them."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field

_READ_BYTES = 256 * 1024


class BrokenMessageError(Exception):
    """The connection ended, or was reset, before the message was complete."""


@dataclass(slots=True)
class Message:
    """One HTTP message."""

    start: str
    headers: dict[str, str]
    body: bytes = b""
    body_bytes: int = 0

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start.split(" ")[1])


@dataclass(slots=True, eq=False)
class Stream:
    """A non-blocking socket with the bytes that were received and not parsed yet."""

    sock: socket.socket
    unread: bytearray = field(default_factory=bytearray)
    received_any: bool = False  # of the current message

    async def send(self, data: bytes) -> None:
        """Return when the system has taken the last byte."""
        await asyncio.get_running_loop().sock_sendall(self.sock, data)

    async def _fill(self) -> None:
        try:
            data = await asyncio.get_running_loop().sock_recv(self.sock, _READ_BYTES)
        except OSError as error:
            raise BrokenMessageError(type(error).__name__) from None
        if not data:
            raise BrokenMessageError("end of the stream")
        self.received_any = True
        self.unread += data

    async def _line(self) -> bytes:
        while (end := self.unread.find(b"\r\n")) < 0:
            await self._fill()
        line = bytes(self.unread[:end])
        del self.unread[: end + 2]
        return line

    async def _take(self, size: int, keep: bool) -> bytes:
        """Read ``size`` bytes; return them only if they are to be kept."""
        kept = bytearray()
        while size > 0:
            if not self.unread:
                await self._fill()
            part = self.unread[:size]
            del self.unread[:size]
            size -= len(part)
            if keep:
                kept += part
        return bytes(kept)

    async def read(self, keep_body: bool = True) -> Message | None:
        """Read one message; None if the stream ends before its first byte."""
        self.received_any = bool(self.unread)
        try:
            start = await self._line()
        except BrokenMessageError:
            if self.received_any:
                raise
            return None
        message = Message(start.decode("latin-1"), {})
        while line := await self._line():
            name, _, value = line.partition(b":")
            message.headers[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await self._line()).split(b";")[0], 16):
                message.body += await self._take(size, keep_body)
                message.body_bytes += size
                await self._line()
            await self._line()
        else:
            size = int(message.headers.get("content-length", "0"))
            message.body = await self._take(size, keep_body)
            message.body_bytes = size
        return message

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()


async def connect(address: tuple[str, int]) -> Stream:
    """Open a connection."""
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return Stream(sock)


def listen(receive_buffer: int = 0) -> socket.socket:
    """Return a listening socket; with ``receive_buffer`` bytes the system does not enlarge the buffer."""
    sock = socket.socket()
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    sock.bind(("127.0.0.1", 0))
    sock.listen(256)
    sock.setblocking(False)
    return sock
