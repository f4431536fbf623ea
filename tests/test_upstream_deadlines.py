"""The checks right before an attempt's first byte is sent: remaining time, client, endpoint list.

The process is delayed at a step before the write: the simulated clock jumps, and something else happens in
the meantime. No result depends on real time.
"""

from __future__ import annotations

import asyncio
import errno
import os
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import uvloop

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import parse_endpoint_list
from indigokeel.metrics import Counters
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.net.streams import RequestStream
from indigokeel.net.upstream import attempt_sender, response_parser, upstream_exchange
from indigokeel.net.upstream import client as upstream_client
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Attempt, Request
from tests import peers

DELAY_S = 0.15
BUDGET_S = 50.0
CLASS = {"name": "view", "objective-s": 60.0, "deadline-s": 60.0, "effect": "safe"}
SETTINGS = {**peers.SETTINGS, "classes": [CLASS]}
CONNECT_TIMEOUT_S = 20.0  # long, so that a busy machine changes no result
WRITEV = os.writev


class ConnectedSource:
    """The source of a request body whose client stays connected (implements RequestStreamSource)."""

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""

    def has_disconnected(self) -> bool:
        """Return False."""
        return False


class Harness:
    """Sends attempts to an upstream, and can delay the process at a step before the first byte is sent."""

    def __init__(self, port: int) -> None:
        self.coordinator = RequestCoordinator(decode_settings(SETTINGS), 1, 0.0)
        self.port = port
        self.names = ["s-0"]
        self.update_endpoints("Ready")
        self.now = 100.0
        self.client_deadline = 0.0
        self.sending = False
        self.client_disconnected = False
        self.fail_next_write = False
        self.delay_at = ""  # the step at which the process is delayed
        self.delay_s = DELAY_S
        self.during_delay: Callable[[], None] = lambda: None  # called during the delay
        self.written: list[tuple[float, float]] = []  # timeout sent, and time left to the client, in ms
        self.outcomes: list[AttemptOutcome] = []

    def update_endpoints(self, state: str) -> None:
        """Set the state of all upstreams."""
        entries = [peers.entry(name, self.port, state) for name in self.names]
        self.coordinator.update_endpoints(0.0, parse_endpoint_list(peers.make_endpoint_list(*entries)))

    def step(self, name: str) -> None:
        """Delay the process if this is the step at which to do so."""
        if self.sending and name == self.delay_at:
            self.delay_at = ""
            self.now += self.delay_s
            self.during_delay()

    def monotonic(self) -> float:
        """Return the simulated time (replaces ``time.monotonic``)."""
        now = self.now
        self.step("clock")
        return now

    def make_parser(self, streams_body: bool) -> response_parser.ResponseParser:
        """Return a parser (replaces the class ResponseParser)."""
        self.step("exchange")
        return response_parser.ResponseParser(streams_body)

    def has_client_disconnected(self) -> bool:
        """Return whether the client has disconnected (OutboundRequest.has_client_disconnected)."""
        left = self.client_disconnected
        self.step("disconnect")
        return left

    def writev(self, fd: int, chunks: list[bytes]) -> int:
        """Write, or fail once, and record the timeouts sent (replaces ``os.writev``)."""
        if self.fail_next_write:
            self.fail_next_write = False
            self.client_disconnected = True
            raise OSError(errno.ENOBUFS, "no buffers")
        value = b"".join(chunks).partition(b"Request-Timeout-Ms: ")[2].partition(b"\r\n")[0]
        if value:
            self.written.append((float(value), (self.client_deadline - self.now) * 1000.0))
        return WRITEV(fd, chunks)

    def open_attempt(self, kind: str) -> Attempt:
        """Return the first attempt of a request, or its second for the kind ``retry``."""
        now = self.now
        self.client_deadline = now + BUDGET_S
        request = Request(kind, "view", BUDGET_S, body_streamed=kind == "upload")
        attempt = self.coordinator.pick(now, request).attempts[0]
        if kind == "retry":
            self.names.append("s-1")
            self.update_endpoints("Ready")
            attempt = self.coordinator.report(now, attempt, AttemptOutcome.REJECTED).attempts[0]
        return attempt

    async def attempt(self, client: upstream_client.UpstreamClient, kind: str) -> None:
        """Send one attempt, and wait until it has ended or been dropped."""
        self.outcomes.clear()
        self.written.clear()
        attempt = self.open_attempt(kind)
        outbound = OutboundRequest(
            b"POST", b"/view/k", b"1", None, [], True, has_client_disconnected=self.has_client_disconnected
        )
        if kind == "upload":
            outbound.request_stream = RequestStream(ConnectedSource(), 4, [b"body"])
            outbound.request_stream.is_complete = True
        client.send_attempt(attempt, outbound, lambda _, response: self.on_ended(response))
        for _ in range(400):
            await asyncio.sleep(0.001)
            if self.outcomes or (not client.connections.waiter_count() and client.connections.idle_count()):
                break
        await asyncio.sleep(0.02)  # longer than a backoff

    def on_ended(self, response: UpstreamResponse) -> None:
        """Record the outcome of the attempt."""
        self.outcomes.append(response.outcome)

    def run(self, kind: str, delay_at: str = "", fail_next_write: bool = False) -> None:
        """Send one attempt with a delay or a failed write."""

        async def inside() -> None:
            client = upstream_client.UpstreamClient(
                self.coordinator,
                Counters("t"),
                upstream_client.UpstreamClientOptions(CONNECT_TIMEOUT_S, 30.0, 8),
            )
            if kind == "reused":  # sent on an idle connection
                await self.attempt(client, "before")
            self.delay_at = delay_at
            self.fail_next_write = fail_next_write
            await self.attempt(client, kind)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(inside())


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Iterator[Harness]:
    """Return a harness that replaces the clock, ``os.writev`` and the steps of the upstream client."""
    upstream = peers.Peer(peers.echo)
    harness = Harness(upstream.port)
    send = attempt_sender.AttemptSender._send

    def sending(*args: Any) -> None:
        harness.sending = True
        harness.step("send")
        send(*args)
        harness.sending = False

    monkeypatch.setattr(attempt_sender.AttemptSender, "_send", sending)
    monkeypatch.setattr(attempt_sender, "time", harness)
    monkeypatch.setattr(upstream_client, "time", harness)
    monkeypatch.setattr(upstream_exchange, "ResponseParser", harness.make_parser)
    monkeypatch.setattr("os.writev", harness.writev)
    yield harness
    upstream.close()


@pytest.mark.parametrize("kind", ["first", "reused", "retry", "upload"])
@pytest.mark.parametrize(
    ("step", "slack"), [("send", 0.0), ("exchange", 0.0), ("clock", 150.0), ("disconnect", 150.0)]
)
def test_forwarded_timeout_is_at_most_what_the_client_has_left(
    harness: Harness, kind: str, step: str, slack: float
) -> None:
    """It may exceed that only by a delay between the reading of the clock and the write."""
    harness.run(kind, step)
    ((sent_ms, left_ms),) = harness.written
    assert sent_ms <= left_ms + slack and harness.outcomes == [AttemptOutcome.OK]


@pytest.mark.parametrize("kind", ["first", "reused", "retry", "upload"])
@pytest.mark.parametrize("step", ["send", "exchange", "clock"])
def test_no_attempt_is_sent_for_a_client_that_left_during_a_delay(
    harness: Harness, kind: str, step: str
) -> None:
    harness.during_delay = lambda: setattr(harness, "client_disconnected", True)
    harness.run(kind, step)
    assert harness.written == []


@pytest.mark.parametrize("kind", ["first", "reused", "upload"])
def test_no_attempt_is_sent_after_a_backoff_during_which_its_client_left(harness: Harness, kind: str) -> None:
    """The first write fails locally, and the client leaves before the second. The attempt still ends."""
    harness.run(kind, fail_next_write=True)
    assert harness.written == [] and harness.outcomes == [AttemptOutcome.NOT_SENT]


@pytest.mark.parametrize("kind", ["first", "reused", "retry"])
@pytest.mark.parametrize("step", ["send", "exchange"])
def test_no_attempt_is_sent_after_its_deadline(harness: Harness, kind: str, step: str) -> None:
    """Nothing was sent to the upstream, so the outcome does not count as its failure."""
    harness.delay_s = BUDGET_S
    harness.run(kind, step)
    assert harness.written == [] and harness.outcomes == [AttemptOutcome.NOT_SENT]


def test_attempt_started_after_its_deadline_acquires_no_connection(harness: Harness) -> None:
    async def inside() -> int:
        client = upstream_client.UpstreamClient(
            harness.coordinator,
            Counters("t"),
            upstream_client.UpstreamClientOptions(CONNECT_TIMEOUT_S, 30.0, 8),
        )
        attempt = harness.open_attempt("late")
        harness.now += BUDGET_S
        outbound = OutboundRequest(b"GET", b"/view/k", b"1", None, [], False)
        client.send_attempt(attempt, outbound, lambda _, response: harness.on_ended(response))
        found = client.open_connections
        await asyncio.sleep(0.0)
        return found

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(inside()) == 0
    assert harness.outcomes == [AttemptOutcome.NOT_SENT]


@pytest.mark.parametrize("kind", ["first", "reused", "retry", "upload"])
@pytest.mark.parametrize("step", ["send", "exchange", "clock", "disconnect"])
def test_no_attempt_is_sent_once_its_upstream_drains_during_a_delay(
    harness: Harness, kind: str, step: str
) -> None:
    harness.during_delay = lambda: harness.update_endpoints("Terminating")
    harness.run(kind, step)
    assert harness.written == [] and harness.outcomes == [AttemptOutcome.NOT_SENT]
