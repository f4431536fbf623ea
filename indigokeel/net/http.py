"""HTTP/1.1 on one socket: h11 for the protocol, vectored writes so that bodies are not copied again."""

from __future__ import annotations

import errno
import math
import select
import socket
from collections.abc import Iterable, Sequence

import h11
import trio

MAX_HEAD = 16 * 1024  # bytes of a message's head
MAX_BODY = 64 * 1024  # bytes of a body, by the protocol
READ = 64 * 1024  # bytes asked of a socket at a time
_MOST_PIECES = 64  # of one vectored write, well under the system's bound

Headers = list[tuple[bytes, bytes]]
Body = list[memoryview]

# What a connection that is broken, refused or unreachable raises here.
BROKEN = (OSError, trio.BrokenResourceError, trio.ClosedResourceError, h11.ProtocolError)

_LOAD_FIELDS = {
    "util": "utilisation",
    "qps": "rate",
    "inflight": "in_flight",
    "queue": "queued",
    "latency_ms": "latency",
    "eps": "error_rate",
}


class BodyTooLargeError(Exception):
    """A body over the protocol's bound."""


class Wire:
    """One connection: a socket, and what h11 knows of the messages on it."""

    def __init__(self, sock: trio.socket.SocketType, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.sock = sock
        self.http = h11.Connection(role, max_incomplete_event_size=MAX_HEAD)
        self.wrote_whole = False  # the last message's last byte is with the system

    async def receive(self) -> bool:
        """Read once and hand it to h11; False at the end of the stream."""
        data = await self.sock.recv(READ)
        self.http.receive_data(data)
        return bool(data)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """The next event, reading as needed; asks for a body that waits to be asked for."""
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                return event  # type: ignore[return-value]
            if self.http.they_are_waiting_for_100_continue:
                await self.send(h11.InformationalResponse(status_code=100, headers=[]))
            await self.receive()

    async def read_body(self, most: int = MAX_BODY) -> Body:
        """The body of the message whose head was read, as views of the pieces h11 hands out."""
        pieces: Body = []
        size = 0
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                size += len(event.data)
                if size > most:
                    raise BodyTooLargeError
                pieces.append(memoryview(event.data))
                if len(pieces) >= _MOST_PIECES:  # a body in crumbs: joined, so that they stay few
                    pieces = [memoryview(b"".join(pieces))]
            elif isinstance(event, h11.EndOfMessage):
                return pieces
            else:
                raise h11.RemoteProtocolError("the message ends before its body")

    async def send(self, *events: h11.Event) -> None:
        """Write events in one go."""
        self.wrote_whole = False
        pieces: list[bytes] = []
        for event in events:
            pieces += self.http.send_with_data_passthrough(event) or ()
        await _write(self.sock, pieces)
        self.wrote_whole = True

    async def send_message(self, head: h11.Event, body: Sequence[memoryview] = ()) -> None:
        """Write a whole message."""
        # h11 passes data through as it is, so views do.
        data = [h11.Data(data=piece) for piece in body]  # type: ignore[arg-type]
        await self.send(head, *data, h11.EndOfMessage())

    def readable(self) -> bool:
        """Whether there is something to read. On an idle connection to an execute node that is its end,
        or what nobody asked for; on one from a submitter its end or a job."""
        return readable(self.sock)

    def close(self) -> None:
        self.sock.close()


async def _write(sock: trio.socket.SocketType, pieces: Iterable[bytes]) -> None:
    left = [memoryview(piece) for piece in pieces if len(piece)]
    while left:
        sent = await sock.sendmsg(left[:_MOST_PIECES])
        while left and sent >= len(left[0]):
            sent -= len(left.pop(0))
        if sent:
            left[0] = left[0][sent:]


async def connect(address: tuple[str, int], role: type[h11.CLIENT]) -> Wire:
    """Open a connection; a cancelled or failed one leaves no descriptor behind."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return Wire(sock, role)


def readable(sock: trio.socket.SocketType) -> bool:
    """Whether a read, or an accept, would find something now."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def out_of_descriptors(error: OSError) -> bool:
    return error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def header(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> str | None:
    """One header's value; h11 gives names in lower case. None where it is missing."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return None


def load_figures(text: str | None) -> dict[str, float] | None:
    """Read a load report, ``name=value,name=value``. What is missing, -1 or no number stays missing."""
    if not text:
        return None
    figures: dict[str, float] = {}
    for pair in text.split(","):
        name, _, value = pair.partition("=")
        known = _LOAD_FIELDS.get(name.strip())
        try:
            figure = float(value)
        except ValueError:
            continue
        if known is not None and math.isfinite(figure) and figure >= 0.0:
            figures[known] = figure / 1000.0 if known == "latency" else figure
    return figures or None
