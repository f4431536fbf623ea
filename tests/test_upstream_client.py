"""The upstream client on real sockets: attempts, cancels and late bytes."""

from __future__ import annotations

import asyncio
import time

import pytest
import uvloop

from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import parse_endpoint_list
from indigokeel.metrics import Counters
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Request
from tests import peers


@pytest.mark.parametrize("steps", range(12))
def test_attempt_cancelled_at_any_step_of_its_connect_leaves_no_connection(steps: int) -> None:
    """Found outside the bench: given up just as its connection came up, an attempt left it in the books for
    good. 216 such stood at their bound after 9,600 requests, and nobody was served any more."""

    async def play() -> int:
        server = await asyncio.get_running_loop().create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        coordinator = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0)
        coordinator.update_endpoints(
            0.0, parse_endpoint_list(peers.parse_endpoint_list(peers.entry("s-0", port)))
        )
        pool = UpstreamClient(coordinator, Counters("t"), 0.25, 30.0, 64)
        task = OutboundRequest(b"GET", b"/view/k", b"1", None, [], False)
        for number in range(60):
            now = time.monotonic()
            attempt = coordinator.pick(now, Request(f"j{number}", "view", 1.0)).attempts[0]
            pool.send_attempt(attempt, task, lambda attempt, reply: None)
            for _ in range(steps):
                await asyncio.sleep(0)
            coordinator.client_disconnected(now, attempt.request)
            pool.cancel_attempt(attempt.request, attempt.number)
        await asyncio.sleep(0.01)
        pool.close_idle("s-0")
        await asyncio.sleep(0.01)
        server.close()
        return pool.open

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(play()) == 0


@pytest.mark.parametrize("stray", [peers.ok(b"first"), b"HTTP/1.1 20", b"\r\n", b""])
def test_late_second_response_is_not_taken_for_the_next_attempts(
    monkeypatch: pytest.MonkeyPatch, stray: bytes
) -> None:
    """The next attempt starts in the moment of the answer before, and the upstream writes once more on that
    connection before it answers anything else: what it writes belongs to nobody. The rest is made longer
    than all that together takes on a machine that is busy."""
    monkeypatch.setattr("indigokeel.net.upstream.delayed_release.QUIET_PERIOD_S", 2.0)

    async def play() -> tuple[list[UpstreamResponse], Counters, int]:
        loop = asyncio.get_running_loop()
        writers: list[asyncio.StreamWriter] = []

        async def upstream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers.append(writer)
            while head := await reader.readuntil(b"\r\n\r\n"):
                if b"/first" in head:
                    writer.write(peers.ok(b"first"))
                else:
                    writers[0].write(stray)
                    await asyncio.sleep(0.002)
                    writer.write(peers.ok(b"next"))

        server = await asyncio.start_server(upstream, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        coordinator = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0)
        coordinator.update_endpoints(
            0.0, parse_endpoint_list(peers.parse_endpoint_list(peers.entry("s-0", port)))
        )
        counters = Counters("t")
        pool = UpstreamClient(coordinator, counters, 5.0, 30.0, 64)
        replies: list[UpstreamResponse] = []
        over: asyncio.Future[None] = loop.create_future()

        def start(number: int, target: bytes) -> None:
            attempt = coordinator.pick(time.monotonic(), Request(f"j{number}", "view", 60.0)).attempts[0]
            pool.send_attempt(attempt, OutboundRequest(b"GET", target, b"%d" % number, None, [], False), done)

        def done(attempt: object, reply: UpstreamResponse) -> None:
            replies.append(reply)
            if len(replies) == 1:
                start(2, b"/next")
            else:
                over.set_result(None)

        start(1, b"/first")
        await over
        while pool.connections.idle() < len(pool.connections.table):
            await asyncio.sleep(0.001)
        server.close()
        return replies, counters, pool.open

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        replies, counters, left = runner.run(play())
    assert [reply.body for reply in replies] == [[b"first"], [b"next"]]
    assert left == (1 if stray else 2) and counters["connection_faults"] == 0
