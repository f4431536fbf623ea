"""Tests that nothing of a response stays in memory after it has ended, without a garbage collection."""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Iterator

import pytest
import uvloop

from indigokeel.metrics import Counters
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.upstream.client import UpstreamClient, UpstreamClientOptions
from indigokeel.net.upstream.response_parser import ResponseParser
from indigokeel.requests.effects import Request
from tests import peers
from tests.test_upstream_client import make_coordinator

ANSWERS = {
    "served": peers.ok(bytes(64 * 1024)),
    "streamed": b"!" + peers.ok(bytes(1 << 20)),
    "rejected": peers.status(503, "Not-Started: 1\r\n"),
    "invalid": b"!HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
    "truncated": b"!" + peers.ok(bytes(64 * 1024))[:-9],
    "too large": b"!HTTP/1.1 500 No\r\nContent-Length: 65537\r\n\r\n" + bytes(65537),
    "not ended": peers.ok(bytes(64 * 1024))[:-9],
}
ATTEMPTS = 3


@pytest.fixture
def without_garbage_collection() -> Iterator[None]:
    """Disable the garbage collection during a test."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def run_attempts(port: int) -> None:
    """Run attempts, cancel those that have not ended after a while, and run a health check."""
    coordinator = make_coordinator(port)
    client = UpstreamClient(coordinator, Counters("t"), UpstreamClientOptions(5.0, 30.0, 64))
    for number in range(ATTEMPTS):
        ended = asyncio.Event()
        attempt = coordinator.pick(time.monotonic(), Request(f"j{number}", "view", 60.0)).attempts[0]
        outbound = OutboundRequest(b"GET", b"/view/k", b"%d" % number, None, [], False)
        client.send_attempt(attempt, outbound, lambda _attempt, _response, ended=ended: ended.set())  # type: ignore[misc]
        try:
            await asyncio.wait_for(ended.wait(), 0.3)
        except TimeoutError:
            client.cancel_attempt(attempt.request_id, attempt.number)
    await client.check_health("s-0")
    client.drain_connections("s-0")
    await asyncio.sleep(0.05)


@pytest.mark.parametrize("answer", ANSWERS.values(), ids=ANSWERS)
def test_no_response_stays_in_memory_after_its_end(without_garbage_collection: None, answer: bytes) -> None:
    """Guards against responses of 64 KiB that stay until a rare garbage collection: 96 MB in 17 s."""
    upstream = peers.Peer(lambda _: answer)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_attempts(upstream.port))
    upstream.close()
    assert upstream.received
    assert [held for held in gc.get_objects() if isinstance(held, ResponseParser)] == []
