"""The admin server: HTTP/1.1, one call per connection, answered as soon as the result of the call is known.

It runs on the event loop of the process and keeps no state: each call becomes one of three calls of its
``AdminHandler``.
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

MAX_CONNECTIONS = 24  # above this, the oldest connection is closed

_MAX_CALL_BYTES = 12 * 1024
_MAX_HEADERS = 100
_MAX_NAME_CHARACTERS = 200  # in the name of an upstream
_CALL_TIMEOUT_S = 5.0  # from the accept of the connection to the answer
_LINGER_S = 0.5  # between the answer and the close, for a caller that is still sending its call
_BACKLOG = 128


class CallResult(Enum):
    """The result of a cordon or uncordon call: the HTTP status and the body of the answer."""

    STORED = 200, "yes"
    UNKNOWN = 404, "nobody has a node of this id"
    NOT_STORED = 503, "in force here, but not on disk yet, which is tried on: call again to hear of it"


AnswerCall = Callable[[CallResult], None]


class AdminHandler(Protocol):
    """The part of the process that carries out the calls."""

    def is_ready(self) -> bool:
        """Return True if this process can serve requests now."""

    def cordon(self, upstream: str, answer: AnswerCall) -> None:
        """Cordon an upstream; ``answer`` is called with the result, at once or later."""

    def uncordon(self, upstream: str, answer: AnswerCall) -> None:
        """Lift the cordon of an upstream; ``answer`` is called with the result, at once or later."""


class AdminServer:
    """Listens for the calls of operators."""

    def __init__(self, handler: AdminHandler, counters: Counters) -> None:
        """Create a server; ``listen`` has to be called to make it listen."""
        self.handler = handler
        self.counters = counters
        self._connections: dict[AdminConnection, None] = {}  # the oldest first
        self._server: asyncio.Server | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Listen on an address; raise OSError if it cannot be bound."""
        loop = asyncio.get_running_loop()
        listener = http.bind(address)
        try:
            self._server = await loop.create_server(
                lambda: AdminConnection(self), sock=listener, backlog=_BACKLOG
            )
        except OSError:
            listener.close()
            raise

    def connection_opened(self, connection: AdminConnection) -> None:
        """Register a connection, and close the oldest one if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            self.counters.add("mgmt_shed")
            next(iter(self._connections)).abort()

    def connection_closed(self, connection: AdminConnection) -> None:
        """Unregister a connection."""
        self._connections.pop(connection, None)

    def descriptors(self) -> list[int]:
        """Return the descriptors of the listener and of the connections."""
        listeners = [sock.fileno() for sock in self._server.sockets] if self._server is not None else []
        return listeners + [connection.fd for connection in self._connections]

    def close(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort()


class AdminConnection(asyncio.Protocol):
    """One connection, which carries one call. httptools calls the ``on_`` methods."""

    def __init__(self, server: AdminServer) -> None:
        """Create the protocol of a connection to ``server``."""
        self._server = server
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport
        self._timer: asyncio.TimerHandle | None = None
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = b""
        self._received_bytes = 0
        self._awaits_result = False  # the call is complete and the handler has not answered yet
        self.fd = -1

    # --- asyncio --------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the timeout of the call."""
        self._transport = cast(asyncio.Transport, transport)
        self.fd = transport.get_extra_info("socket").fileno()
        self._timer = asyncio.get_running_loop().call_later(_CALL_TIMEOUT_S, self._time_out)
        self._server.connection_opened(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Release the resources of the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self._parser = None  # breaks the reference cycle with the parser
        self._server.connection_closed(self)

    def data_received(self, data: bytes) -> None:
        """Parse the call; data after it is ignored."""
        if self._parser is None or self._awaits_result:
            return
        self._received_bytes += len(data)
        try:
            self._check_size()
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._answer_error(RequestError.from_parser_error(error))
        except RequestError as error:
            self._answer_error(error)
        except Exception as error:  # an internal error fails this call and no other
            self._server.counters.add("client_connection_faults")
            self._server.counters.log(f"fault in an admin call: {type(error).__name__}: {error}", "error")
            self._answer(500, "internal error")

    def _check_size(self) -> None:
        if self._received_bytes > _MAX_CALL_BYTES:
            raise RequestError(413, "the call is too large")

    # --- httptools ------------------------------------------------------------------------------------

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; the first of several with the same name counts."""
        if len(self._headers) > _MAX_HEADERS:
            raise RequestError(431, "the head is too large")
        self._headers.setdefault(name.lower(), value.strip(b" \t"))

    def on_headers_complete(self) -> None:
        """Check the framing, and send 100 Continue if the caller waits for it."""
        http.check_framing(self._headers)
        if self._headers.get(b"expect", b"").lower() == b"100-continue":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._body += data

    def on_message_complete(self) -> None:
        """Carry out the call."""
        parser = self._parser
        if parser is None:
            return
        if parser.should_upgrade():
            raise RequestError(400, "no other protocol is spoken here")
        method = parser.get_method()
        path = self._target.split(b"?", 1)[0]
        if path == b"/admin/health":
            self._answer_health(method)
        elif path == b"/admin/cordon":
            self._change_cordon(method, self._server.handler.cordon)
        elif path == b"/admin/uncordon":
            self._change_cordon(method, self._server.handler.uncordon)
        else:
            raise RequestError(404, "there is no such call")

    # --- calls ----------------------------------------------------------------------------------------

    def _answer_health(self, method: bytes) -> None:
        if method not in (b"GET", b"HEAD"):
            raise RequestError(405, "only GET")
        is_ready = self._server.handler.is_ready()
        self._answer(200 if is_ready else 503, "yes" if is_ready else "no", has_body=method != b"HEAD")

    def _change_cordon(self, method: bytes, call: Callable[[str, AnswerCall], None]) -> None:
        if method != b"PUT":
            raise RequestError(405, "only PUT")
        upstream = _parse_upstream(self._body)
        self._awaits_result = True
        call(upstream, self._answer_result)

    def _answer_result(self, result: CallResult) -> None:
        self._answer(*result.value)

    def _answer_error(self, error: RequestError) -> None:
        self._answer(error.status, str(error))

    def _answer(self, status: int, text: str, has_body: bool = True) -> None:
        """Answer once, and close the connection after the caller has had time to read the answer."""
        if self._parser is None or self._transport.is_closing():
            return
        self._parser = None
        self._count(status)
        head, *body = http.format_response(status, [text.encode() + b"\n"], close=True)
        self._transport.write(b"".join([head, *body]) if has_body else head)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(_LINGER_S, self.abort)

    def _count(self, status: int) -> None:
        self._server.counters.add("mgmt_calls")
        if status >= 400 and status != 503:
            self._server.counters.add("mgmt_refused")

    def _time_out(self) -> None:
        if self._awaits_result:
            self._answer_result(CallResult.NOT_STORED)
        else:
            self._answer(408, "the call took too long")

    def abort(self) -> None:
        """Close the connection at once."""
        self._server.connection_closed(self)
        self._transport.abort()


def _parse_upstream(body: bytes) -> str:
    """Return the name of the upstream in the body of a call; raise RequestError if the body is invalid."""
    try:
        data = orjson.loads(body)
    except orjson.JSONDecodeError:
        raise RequestError(400, "the body is not JSON") from None
    upstream = data.get("who") if isinstance(data, dict) else None
    if not isinstance(upstream, str) or not 0 < len(upstream) <= _MAX_NAME_CHARACTERS:
        raise RequestError(400, 'the body has to be {"who": "ID"}')
    return upstream
