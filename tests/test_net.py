"""Parts of the network side that the module does not order under today's settings, on real sockets."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import time

import pytest
import uvloop

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import EndpointList, parse_endpoint_list
from indigokeel.metrics import Counters
from indigokeel.net.discovery import DiscoveryClient
from indigokeel.net.downstream.client_connection import ClientConnection, FinalResponse
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.upstream import IdleResetEstimator
from indigokeel.net.upstream.client import UpstreamClient
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import FinalStatus, Request
from tests import peers


@pytest.mark.parametrize(
    ("answer", "found"),
    [
        (peers.ok(b"inflight=7,util=0.5"), (AttemptOutcome.OK, {"in_flight": 7.0, "utilisation": 0.5})),
        (peers.ok(b"", "Server-Load: qps=3\r\n"), (AttemptOutcome.OK, {"rate": 3.0})),
        (peers.status(503), (AttemptOutcome.REJECTED, None)),
        (b"odd", (AttemptOutcome.BROKEN, None)),
        (None, (AttemptOutcome.BROKEN, None)),
    ],
)
def test_probe(answer: bytes | None, found: tuple[AttemptOutcome, dict[str, float] | None]) -> None:
    upstream = peers.Peer(lambda message: b"!" + answer if answer else None)
    coordinator = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0)
    coordinator.update_endpoints(
        0.0, parse_endpoint_list(peers.parse_endpoint_list(peers.entry("s-0", upstream.port)))
    )
    pool = UpstreamClient(coordinator, Counters("t"), 0.25, 30.0, 8)
    assert asyncio.run(pool.check_health("s-0")) == found
    assert upstream.got[0].line == "GET /_load HTTP/1.1"
    upstream.close()
    assert asyncio.run(pool.check_health("s-1")) == (AttemptOutcome.NOT_SENT, None)


async def rested(pool: UpstreamClient) -> None:
    """Wait until a connection stands idle."""
    for _ in range(2000):
        if pool.connections.idle():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("no connection was kept")


def test_probes_and_claims_share_connections() -> None:
    """Found by reading, before the second deployment: each probe took an idle connection, or made one, and
    closed it: a handshake for each probe, and one for the next attempt."""
    from_each: list[int] = []

    async def play() -> dict[AttemptOutcome, int]:
        coordinator = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0)
        coordinator.update_endpoints(
            0.0, parse_endpoint_list(peers.parse_endpoint_list(peers.entry("s-0", upstream.port)))
        )
        counters = Counters("t")
        pool = UpstreamClient(coordinator, counters, 0.25, 30.0, 8)
        loop, ended = asyncio.get_running_loop(), []
        for number in range(5):
            assert (await pool.check_health("s-0"))[0] is AttemptOutcome.OK
            await rested(pool)
            now = time.monotonic()
            attempt = coordinator.pick(now, Request(f"j{number}", "view", 60.0)).attempts[0]
            done: asyncio.Future[AttemptOutcome] = loop.create_future()
            task = OutboundRequest(b"GET", b"/view/k", b"%d" % number, None, [], False)
            pool.send_attempt(attempt, task, lambda attempt, reply, done=done: done.set_result(reply.outcome))  # type: ignore[misc]
            ended.append(await done)
            await rested(pool)
        from_each.append(counters["upstream_connections"])
        pool.close_idle("s-0")
        return {outcome: ended.count(outcome) for outcome in ended}

    upstream = peers.Peer(lambda message: peers.ok(b"inflight=7,util=0.5"))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(play()) == {AttemptOutcome.OK: 5}
    assert from_each == [1] and len(upstream.got) == 10
    upstream.close()


@pytest.mark.parametrize("body", [b"", b"inflight=-1,util=x", b"inflight=1e99", b"{}", b"\xff\x00"])
def test_probe_with_absurd_figures_costs_that_report_only(body: bytes) -> None:
    upstream = peers.Peer(lambda message: peers.ok(body))
    coordinator = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0)
    coordinator.update_endpoints(
        0.0, parse_endpoint_list(peers.parse_endpoint_list(peers.entry("s-0", upstream.port)))
    )
    counters = Counters("t")
    pool = UpstreamClient(coordinator, counters, 0.25, 30.0, 8)
    assert asyncio.run(pool.check_health("s-0")) == (AttemptOutcome.OK, None)
    assert counters["upstream_health_checks_without_report"] == counters["upstream_health_check_ok"] == 1
    upstream.close()


def test_connections_are_not_used_at_ages_at_which_claims_break() -> None:
    """Found on a day that dropped connections idle for 0.1 s: half of the attempts on them broke."""
    idle_resets = IdleResetEstimator()
    for step in range(300):
        now = step * 0.01
        idle_resets.record(now, -1.0, step % 20 == 0)
        idle_resets.record(now, 0.03, step % 20 == 0)
        idle_resets.record(now, 0.25, step % 3 == 0)
    assert [idle_resets.is_risky(3.0, age) for age in (0.0, 0.03, 0.25, 9.0)] == [False, False, True, True]
    # It is tried again once what was seen is old.
    assert not idle_resets.is_risky(300.0, 9.0)


@pytest.mark.parametrize(
    ("answer", "lists", "failures"),
    [
        (peers.ok(json.dumps(peers.parse_endpoint_list(index=5)).encode()), 1, 0),
        (peers.ok(b"[]"), 0, 1),
        (peers.status(503), 0, 1),
        (None, 0, 1),
    ],
)
def test_whole_list_is_fetched_or_its_failure_told_once(
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


def test_peer_that_is_closed_accepts_nothing_more() -> None:
    """Found as an answer of 1 MiB that another test's upstream had sent, in the test of upgrades: the thread
    of a closed peer still stood in accept, and with its call restarted (a stop of the process is enough) it
    took a connection of the next peer, whose socket had got the same number."""
    old = peers.Peer(lambda message: peers.ok(b"old"))
    old.close()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", old.port))


def test_log_that_nobody_reads_stops_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    reader, writer = os.pipe()
    monkeypatch.setattr("indigokeel.metrics._STDERR", writer)
    counters = Counters("t")
    for _ in range(500):
        counters.dump(figure=1.0)
        counters.add("x" * 100)
    assert counters["log_lines_left_out"] > 0
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize("steps", range(12))
def test_claim_given_up_at_every_step_of_its_open_leaves_no_connection_in_the_books(steps: int) -> None:
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
def test_second_answer_that_comes_late_is_not_the_next_claims(
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


class LateDesk:
    """A sidecar that is behind and turns every request away."""

    closing, overloaded = False, True
    settings = decode_settings(peers.SETTINGS)
    asked = 0

    def shed_early(
        self, session: ClientConnection, arrived: float, class_name: str, budget: float
    ) -> float | None:
        self.asked += 1
        return 0.25 if class_name == "view" or budget > 1.0 else None

    def is_healthy(self) -> bool:
        return True

    def is_open(self, request_id: str) -> bool:
        return False

    def is_crowded(self) -> bool:
        return False

    def handle_request(
        self, session: ClientConnection, arrived: float, request: Request, task: OutboundRequest
    ) -> None:
        session.send_final_response(
            FinalResponse(FinalStatus.SERVED, 0.0, UpstreamResponse(AttemptOutcome.OK, None, [b"done"]))
        )

    def request_body_received(self, request_id: str) -> None: ...

    def client_disconnected(self, request_id: str) -> None: ...

    def connection_opened(self, session: ClientConnection) -> None: ...

    def connection_closing(self, session: ClientConnection) -> None: ...

    def connection_closed(self, session: ClientConnection) -> None: ...


_HEAD = b"Request-Id: 1\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n"
_VIEW = b"GET /view/k HTTP/1.1\r\n" + _HEAD % (b"view", 900)
_PAY = b"POST /pay/k HTTP/1.1\r\n" + _HEAD % (b"pay", 2000) + b"Content-Length: 3\r\n"


@pytest.mark.parametrize(
    ("sent", "codes"),
    [
        (_VIEW + b"\r\n", [503]),
        (_PAY + b"\r\nabc", [503]),
        (_PAY + b"\r\nab", []),  # the rest is still to come
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
def test_sidecar_that_is_behind_refuses_plain_messages_and_reads_all_others(
    sent: bytes, codes: list[int]
) -> None:
    async def play() -> bytes:
        handler = LateDesk()
        near, far = socket.socketpair()
        near.setblocking(False)
        await asyncio.get_running_loop().create_connection(
            lambda: ClientConnection(handler, Counters("t")), sock=near
        )
        far.sendall(sent)
        for _ in range(5):
            await asyncio.sleep(0.002)
        far.setblocking(False)
        try:
            return far.recv(65536)
        except BlockingIOError:
            return b""
        finally:
            far.close()
            await asyncio.sleep(0)

    got = asyncio.run(play())
    assert [int(part[:3]) for part in got.split(b"HTTP/1.1 ")[1:]] == codes
    assert got.count(b"Retry-After: 0.250") == codes.count(503)
