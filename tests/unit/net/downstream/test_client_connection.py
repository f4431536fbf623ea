"""Tests of one client connection whose events, upstream and responses are scripted, without sockets."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.balancing.settings import Settings
from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_connection import ClientConnection, FinalResponse
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.streams import RequestStream, ResponseStream
from indigokeel.requests.effects import FinalStatus, Request
from tests.peers import request
from tests.support.clients import make_client_resources
from tests.test_net import OverloadedHandler
from tests.unit.net.test_streams import StreamEnds

FIRST_BYTES, REST_BYTES = 66_000, 10_000  # streamed, and together more than is buffered


class ScriptedTransport(asyncio.Transport):
    """A transport that records what is written, and whether reading is paused."""

    def __init__(self) -> None:
        self.ends = socket.socketpair()
        super().__init__({"socket": self.ends[0]})
        self.written = b""
        self.reading = True
        self.is_closed = False

    def write(self, data: Any) -> None:
        """Record data."""
        self.written += data

    def write_eof(self) -> None:
        """Do nothing."""

    def get_write_buffer_size(self) -> int:
        """Return that the client has taken everything."""
        return 0

    def pause_reading(self) -> None:
        """Record the pause."""
        self.reading = False

    def resume_reading(self) -> None:
        """Record the end of the pause."""
        self.reading = True

    def is_closing(self) -> bool:
        """Return whether the connection was closed."""
        return self.is_closed

    def abort(self) -> None:
        """Record the close."""
        self.is_closed = True

    close = abort


class HoldingHandler(OverloadedHandler):
    """A handler that records requests; the test responds to them."""

    overloaded = False

    def __init__(self) -> None:
        self.requests: list[OutboundRequest] = []
        self.arrival = (0.0, 0.0)  # the times between which the newest request arrived

    def settings_for(self, class_name: str, earliest: float, latest: float) -> Settings:
        """Record when a request arrived."""
        self.arrival = (earliest, latest)
        return super().settings_for(class_name, earliest, latest)

    def shed_early(self, *arguments: Any) -> float | None:
        """Shed nothing."""
        return None

    def handle_request(
        self, connection: ClientConnection, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        """Record a request."""
        self.requests.append(outbound)


class ScriptedConnection:
    """A client connection, its transport and its handler."""

    def __init__(self) -> None:
        self.handler = HoldingHandler()
        self.transport = ScriptedTransport()
        self.connection = ClientConnection(self.handler, Counters("t"), make_client_resources())
        self.connection.connection_made(self.transport)

    def respond(self, status: FinalStatus, response: UpstreamResponse | None = None) -> None:
        """Respond to the request that is being served."""
        self.connection.send_final_response(FinalResponse(status, 0.0, response))

    def receive_long_request(self) -> RequestStream:
        """Receive a request whose last bytes are read together with those that pause reading."""
        raw = request("pay", bytes(FIRST_BYTES + REST_BYTES))
        self.connection.receive(raw[:-REST_BYTES])
        self.connection.receive(raw[-REST_BYTES:])
        assert not self.transport.reading
        request_stream = self.handler.requests[-1].request_stream
        assert request_stream is not None
        return request_stream


@pytest.fixture
def client() -> Iterator[ScriptedConnection]:
    """Return a connection whose transport is closed after the test."""

    async def make() -> ScriptedConnection:
        return ScriptedConnection()

    scripted = asyncio.run(make())
    yield scripted
    for end in scripted.transport.ends:
        end.close()


def never_sent(client: ScriptedConnection, request_stream: RequestStream) -> None:
    """End a request that was sent to no upstream."""
    client.respond(FinalStatus.REJECTED)


def not_taken(client: ScriptedConnection, request_stream: RequestStream) -> None:
    """End a request whose upstream takes nothing; its attempt is cancelled."""
    sink = StreamEnds()
    sink.is_full = True
    request_stream.attach(sink)
    client.respond(FinalStatus.FAILED)


def answered_early(client: ScriptedConnection, request_stream: RequestStream) -> None:
    """End a request whose upstream responds with a long body before it has taken that of the request."""
    sink = StreamEnds()
    sink.is_full = True
    request_stream.attach(sink)
    stream = ResponseStream(StreamEnds(), 4)
    client.respond(FinalStatus.SERVED, UpstreamResponse(AttemptOutcome.OK, None, None, stream))
    stream.feed([b"done"])
    stream.end(True)


@pytest.mark.parametrize("end", [never_sent, not_taken, answered_early])
def test_connection_is_read_again_however_a_long_request_ended(
    client: ScriptedConnection, end: Callable[[ScriptedConnection, RequestStream], None]
) -> None:
    """Guards against a pause that outlasts its request: the next one on the connection was never read."""
    for number in range(2):
        end(client, client.receive_long_request())
        assert client.transport.reading
        client.connection.receive(request("view"))
        assert len(client.handler.requests) == 2 * (number + 1)
        client.respond(FinalStatus.REJECTED)


def test_streamed_response_to_a_client_that_takes_nothing_is_paused_from_its_start(
    client: ScriptedConnection,
) -> None:
    """Guards against a long response held whole, because its client was slow before the response began."""
    upstream = StreamEnds()
    client.connection.receive(request("view"))
    client.connection.pause_writing()
    stream = ResponseStream(upstream, -1)
    client.respond(FinalStatus.SERVED, UpstreamResponse(AttemptOutcome.OK, None, None, stream))
    assert upstream.is_paused
    client.connection.resume_writing()
    assert not upstream.is_paused


@pytest.mark.parametrize("is_waiting", [True, False])
def test_request_that_waits_unread_during_a_reload_may_have_arrived_before_it(
    client: ScriptedConnection, is_waiting: bool
) -> None:
    """Guards against the new settings for a request that was taken under the previous ones."""
    raw = request("view")
    if is_waiting:
        client.transport.ends[1].sendall(raw)
    reloaded_at = time.monotonic()
    client.connection.record_unread_input(reloaded_at)
    client.connection.receive(raw)
    assert (client.handler.arrival[0] <= reloaded_at) is is_waiting
    assert reloaded_at < client.handler.arrival[1]
