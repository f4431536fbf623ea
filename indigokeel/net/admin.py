"""The operators' address: HTTP/1.1, one call a connection, each answered as soon as its answer is known.

It runs on the sidecar's loop and keeps nothing: a call becomes one of three plain questions to the desk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

import httptools
import orjson

from indigokeel.metrics import Counters
from indigokeel.net import http
from indigokeel.net.http import RequestError

MAX_CONNECTIONS = 24  # connections at a time; with more, the one that has said nothing whole for longest goes
_MOST = 12 * 1024  # bytes of a call
_CALL_TIME = 5.0  # s from the connection to the call's last byte
_LINGER = 0.5  # s between the answer and the close, for a caller that is still sending


class CallResult(Enum):
    """What became of a call to take an upstream out or give it back: a status and its text."""

    STORED = 200, "yes"
    UNKNOWN = 404, "nobody has a node of this id"
    NOT_STORED = 503, "in force here, but not on disk yet, which is tried on: call again to hear of it"


class Handler(Protocol):
    """What the calls ask."""

    def serves(self) -> bool:
        """Whether this process can serve requests now."""

    def cordon(self, who: str, answer: Callable[[CallResult], None]) -> None:
        """Take an upstream out; ``answer`` is called at once or later."""

    def uncordon(self, who: str, answer: Callable[[CallResult], None]) -> None:
        """Give an upstream back; ``answer`` is called at once or later."""


class AdminServer:
    """Listens for the operators' calls."""

    def __init__(self, handler: Handler, counters: Counters) -> None:
        self.handler, self.counters = handler, counters
        self.calls: dict[Call, None] = {}  # open connections, oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Begin to listen; raises OSError where the address cannot be had."""
        loop = asyncio.get_running_loop()
        listener = http.bind(address)
        try:
            self._server = await loop.create_server(lambda: Call(self), sock=listener, backlog=128)
        except OSError:
            listener.close()
            raise

    def joined(self, call: Call) -> None:
        self.calls[call] = None
        if len(self.calls) > MAX_CONNECTIONS:
            self.counters.add("mgmt_shed")
            next(iter(self.calls)).drop()

    def descriptors(self) -> list[int]:
        """Those of the listener and of the calls."""
        listener = [sock.fileno() for sock in self._server.sockets] if self._server is not None else []
        return listener + [call.fd for call in self.calls]

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for call in list(self.calls):
            call.drop()


class Call(asyncio.Protocol):
    """One connection. httptools calls the ``on_`` methods."""

    __slots__ = (
        "_body",
        "_headers",
        "_room",
        "_parser",
        "_size",
        "_target",
        "_timer",
        "_transport",
        "_waits",
        "fd",
    )

    def __init__(self, room: AdminServer) -> None:
        self._room = room
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._timer: asyncio.TimerHandle | None = None
        self._target = self._body = b""
        self._headers: dict[bytes, bytes] = {}
        self._size = 0
        self._waits = False  # for the answer to a whole call
        self.fd = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self.fd = transport.get_extra_info("socket").fileno()
        self._timer = asyncio.get_running_loop().call_later(_CALL_TIME, self._too_late)
        self._room.joined(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._parser = None  # it holds this object: the two are let go together
        self._room.calls.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self._parser is None or self._waits:
            return  # behind the call, or after what could not be read
        self._size += len(data)
        try:
            if self._size > _MOST:
                raise RequestError(413, "the call is too large")
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._refuse(RequestError.of(error))
        except RequestError as error:
            self._refuse(error)
        except Exception as error:  # a fault costs this call and no other
            self._room.counters.add("client_connection_faults")
            self._room.counters.log(f"fault in a call: {type(error).__name__}: {error}", "error")
            self._answer(500, "internal error")

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self._headers) > 100:
            raise RequestError(431, "the head is too large")
        self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        http.one_framing(self._headers)
        if self._headers.get(b"expect", b"").lower() == b"100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        parser = self._parser
        if parser is None:
            return
        if parser.should_upgrade():
            raise RequestError(400, "no other protocol is spoken here")
        method, path = parser.get_method(), self._target.split(b"?", 1)[0]
        handler = self._room.handler
        if path == b"/admin/health":
            if method not in (b"GET", b"HEAD"):
                raise RequestError(405, "only GET")
            yes = handler.serves()
            self._answer(200 if yes else 503, "yes" if yes else "no", method == b"HEAD")
        elif path in (b"/admin/cordon", b"/admin/uncordon"):
            if method != b"PUT":
                raise RequestError(405, "only PUT")
            who = _who(self._body)
            self._waits = True
            call = handler.cordon if path == b"/admin/cordon" else handler.uncordon
            call(who, self._settle)
        else:
            raise RequestError(404, "there is no such call")

    def _answer(self, status: int, why: str, bodiless: bool = False) -> None:
        """Answer, once, and close as soon as the caller has had the time to read it."""
        if self._parser is None or self._transport.is_closing():
            return
        self._parser = None
        counters = self._room.counters
        counters.add("mgmt_calls")
        if status >= 400 and status != 503:
            counters.add("mgmt_refused")
        head, *body = http.response(status, [why.encode() + b"\n"], close=True)
        self._transport.write(head if bodiless else b"".join([head, *body]))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(_LINGER, self.drop)

    def _settle(self, result: CallResult) -> None:
        self._answer(*result.value)

    def _refuse(self, error: RequestError) -> None:
        self._answer(error.status, str(error))

    def _too_late(self) -> None:
        if self._waits:
            self._settle(CallResult.NOT_STORED)
        else:
            self._answer(408, "the call took too long")

    def drop(self) -> None:
        """Close it at once."""
        self._room.calls.pop(self, None)
        self._transport.abort()


def _who(body: bytes) -> str:
    """The upstream that a call names."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise RequestError(400, "the body is not JSON") from None
    who = data.get("who") if isinstance(data, dict) else None
    if not isinstance(who, str) or not 0 < len(who) <= 200:
        raise RequestError(400, 'the body has to be {"who": "ID"}')
    return who
