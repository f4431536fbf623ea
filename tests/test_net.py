"""Parts of the network layer without a test module of their own: discovery fetches, logs, early shedding."""

from __future__ import annotations

import asyncio
import json
import os
import socket

import pytest

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.balancing.settings import Settings
from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.metrics import Counters
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection, FinalResponse
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.requests.effects import FinalStatus, Request
from tests import peers
from tests.support.clients import make_client_resources


@pytest.mark.parametrize(
    ("answer", "lists", "failures"),
    [
        (peers.ok(json.dumps(peers.make_endpoint_list(index=5)).encode()), 1, 0),
        (peers.ok(b"[]"), 0, 1),
        (peers.status(503), 0, 1),
        (None, 0, 1),
    ],
)
def test_full_list_is_fetched_or_its_failure_reported_once(
    answer: bytes | None, lists: int, failures: int
) -> None:
    server = peers.Peer(lambda message: answer)
    got: list[EndpointList] = []
    failed: list[None] = []
    discovery = DiscoveryClient(
        ("127.0.0.1", server.port), Counters("t"), got.append, lambda: failed.append(None)
    )
    asyncio.run(discovery.fetch())
    assert (len(got), len(failed), discovery.version) == (lists, failures, 5 * lists)
    server.close()


def test_closed_peer_accepts_no_connections() -> None:
    """Guards against a closed peer that still accepts: its thread was blocked in accept, the call was
    restarted (stopping the process is enough), and it took a connection of the next peer, whose socket had
    the same descriptor number. A test of upgrades then got a response of 1 MiB from another test's
    upstream."""
    old = peers.Peer(lambda message: peers.ok(b"old"))
    old.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", old.port))


def test_log_that_nobody_reads_does_not_block(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    monkeypatch.setattr("indigokeel.metrics._STDERR", writer)
    counters = Counters("t")
    for _ in range(500):
        counters.dump(figure=1.0)
        counters.add("x" * 100)
    assert counters["log_lines_left_out"] > 0
    os.close(reader)
    os.close(writer)


class OverloadedHandler:
    """A request handler that is overloaded: sheds requests of class view, and those with over 1 s left."""

    closing, overloaded = False, True
    asked = 0

    def settings_for(self, class_name: str, earliest: float, latest: float) -> Settings:
        return decode_settings(peers.SETTINGS)

    def shed_early(
        self, connection: ClientConnection, arrived: float, class_name: str, budget: float
    ) -> float | None:
        self.asked += 1
        return 0.25 if class_name == "view" or budget > 1.0 else None

    def is_healthy(self) -> bool:
        return True

    def is_open(self, request_id: str) -> bool:
        return False

    def has_too_many_active_connections(self) -> bool:
        return False

    def handle_request(
        self, connection: ClientConnection, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        connection.send_final_response(
            FinalResponse(FinalStatus.SERVED, 0.0, UpstreamResponse(AttemptOutcome.OK, None, [b"done"]))
        )

    def request_body_sent(self, request_id: str, sent_at: float | None) -> None: ...

    def client_disconnected(self, request_id: str) -> None: ...

    def connection_opened(self, connection: ClientConnection) -> None: ...

    def connection_closing(self, connection: ClientConnection) -> None: ...

    def connection_closed(self, connection: ClientConnection) -> None: ...


_HEAD = b"Request-Id: 1\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n"
_VIEW = b"GET /view/k HTTP/1.1\r\n" + _HEAD % (b"view", 900)
_PAY = b"POST /pay/k HTTP/1.1\r\n" + _HEAD % (b"pay", 2000) + b"Content-Length: 3\r\n"


@pytest.mark.parametrize(
    ("sent", "codes"),
    [
        (_VIEW + b"\r\n", [503]),
        (_PAY + b"\r\nabc", [503]),
        (_PAY + b"\r\nab", []),  # the body is incomplete
        (_VIEW + b"\r\n" + _VIEW + b"\r\n", [503, 503]),
        (_VIEW, []),
        (b"POST /pay/k HTTP/1.1\r\n" + _HEAD % (b"pay", 500) + b"Content-Length: 0\r\n\r\n", [200]),
        (b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n", [200]),
        (_PAY + b"Transfer-Encoding: chunked\r\n\r\nabc", [400]),
        (_PAY + b"content-length: 3\r\n\r\nabc", [400]),
        (_PAY.replace(b": 3", b": -3") + b"\r\nabc", [400]),
        (_VIEW.replace(b"900", b"soon") + b"\r\n", [400]),
        (_VIEW.replace(b"view", b"noise", 1) + b"Connection: close\r\n\r\n", [404]),
        (b"\x16\x03\x01" + _VIEW + b"\r\n", [400]),
    ],
)
def test_overloaded_sidecar_sheds_plain_requests_and_parses_all_others(sent: bytes, codes: list[int]) -> None:
    async def send() -> bytes:
        handler = OverloadedHandler()
        server_end, client_end = socket.socketpair()
        server_end.setblocking(False)
        await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(handler, Counters("t"), make_client_resources()), sock=server_end
        )
        client_end.sendall(sent)
        for _ in range(5):
            await asyncio.sleep(0.002)
        client_end.setblocking(False)
        try:
            return client_end.recv(65536)
        except BlockingIOError:
            return b""
        finally:
            client_end.close()
            await asyncio.sleep(0)

    got = asyncio.run(send())
    assert [int(part[:3]) for part in got.split(b"HTTP/1.1 ")[1:]] == codes
    assert got.count(b"Retry-After: 0.250") == codes.count(503)
