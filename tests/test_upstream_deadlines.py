"""The checks right before an attempt's first byte: the remaining time, its client, the endpoint list.

The process is held up at a step before the write: the clock jumps, and something else happens meanwhile. No
result depends on real time.
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

HOLD_UP_S = 0.15
BUDGET_S = 50.0
CLASS = {"name": "view", "objective-s": 60.0, "deadline-s": 60.0, "effect": "safe"}
SETTINGS = {**peers.SETTINGS, "classes": [CLASS]}
CONNECT_TIMEOUT_S = 20.0  # so that a busy machine changes no result
WRITEV = os.writev


class ConnectedSource:
    """The source of a request's body whose client stays connected (RequestStreamSource)."""

    def pause(self) -> None:
        """Do nothing."""

    def resume(self) -> None:
        """Do nothing."""

    def has_disconnected(self) -> bool:
        """Return False."""
        return False


class Process:
    """A client of one upstream, in a process that can be held up at a step before the first byte."""

    def __init__(self, port: int) -> None:
        self.coordinator = RequestCoordinator(decode_settings(SETTINGS), 1, 0.0)
        self.port = port
        self.names = ["s-0"]
        self.update_endpoints("Ready")
        self.now = 100.0
        self.client_deadline = 0.0
        self.sending = False
        self.client_left = False
        self.cannot_write = False
        self.hold_up_at = ""  # the step
        self.hold_up_s = HOLD_UP_S
        self.during: Callable[[], None] = lambda: None  # called in the hold-up
        self.written: list[tuple[float, float]] = []  # timeout sent and time that the client had left, in ms
        self.done: list[AttemptOutcome] = []

    def update_endpoints(self, state: str) -> None:
        """Set the state of all upstreams."""
        entries = [peers.entry(name, self.port, state) for name in self.names]
        self.coordinator.update_endpoints(0.0, parse_endpoint_list(peers.parse_endpoint_list(*entries)))

    def step(self, name: str) -> None:
        """Hold the process up, if this is the step to do it at."""
        if self.sending and name == self.hold_up_at:
            self.hold_up_at = ""
            self.now += self.hold_up_s
            self.during()

    def monotonic(self) -> float:
        """Return the time (in place of ``time``)."""
        now = self.now
        self.step("clock")
        return now

    def make_parser(self) -> response_parser.ResponseParser:
        """Return a parser (in place of its class)."""
        self.step("exchange")
        return response_parser.ResponseParser()

    def has_client_left(self) -> bool:
        """Return whether the client has disconnected (OutboundRequest)."""
        left = self.client_left
        self.step("left")
        return left

    def writev(self, fd: int, chunks: list[bytes]) -> int:
        """Write, or fail once, and keep the timeouts sent (in place of ``os.writev``)."""
        if self.cannot_write:
            self.cannot_write = False
            self.client_left = True
            raise OSError(errno.ENOBUFS, "no buffers")
        value = b"".join(chunks).partition(b"Request-Timeout-Ms: ")[2].partition(b"\r\n")[0]
        if value:
            self.written.append((float(value), (self.client_deadline - self.now) * 1000.0))
        return WRITEV(fd, chunks)

    def open_attempt(self, kind: str) -> Attempt:
        """Return an attempt: the first of a request, or its second for ``retry``."""
        now = self.now
        self.client_deadline = now + BUDGET_S
        request = Request(kind, "view", BUDGET_S, long=kind == "upload")
        attempt = self.coordinator.pick(now, request).attempts[0]
        if kind == "retry":
            self.names.append("s-1")
            self.update_endpoints("Ready")
            attempt = self.coordinator.report(now, attempt, AttemptOutcome.REJECTED).attempts[0]
        return attempt

    async def attempt(self, client: upstream_client.UpstreamClient, kind: str) -> None:
        """Send one attempt, and wait until nothing more happens to it."""
        self.done.clear()
        self.written.clear()
        attempt = self.open_attempt(kind)
        outbound = OutboundRequest(
            b"POST", b"/view/k", b"1", None, [], True, has_client_left=self.has_client_left
        )
        if kind == "upload":
            outbound.request_stream = RequestStream(ConnectedSource(), 4, [b"body"])
            outbound.request_stream.is_complete = True
        client.send_attempt(attempt, outbound, lambda _, response: self.on_ended(response))
        for _ in range(400):
            await asyncio.sleep(0.001)
            if self.done or (not client.connections.waiting() and client.connections.idle()):
                break
        await asyncio.sleep(0.02)  # longer than a backoff

    def on_ended(self, response: UpstreamResponse) -> None:
        """Keep the outcome of the attempt."""
        self.done.append(response.outcome)

    def run(self, kind: str, hold_up_at: str = "", cannot_write: bool = False) -> None:
        """Send one attempt with a hold-up or a failed write."""

        async def inside() -> None:
            client = upstream_client.UpstreamClient(
                self.coordinator,
                Counters("t"),
                upstream_client.UpstreamClientOptions(CONNECT_TIMEOUT_S, 30.0, 8),
            )
            if kind == "kept":  # on a connection that is idle
                await self.attempt(client, "before")
            self.hold_up_at = hold_up_at
            self.cannot_write = cannot_write
            await self.attempt(client, kind)

        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(inside())


@pytest.fixture
def process(monkeypatch: pytest.MonkeyPatch) -> Iterator[Process]:
    """Return a process whose clock, writes and steps are its own."""
    upstream = peers.Peer(peers.echo)
    made = Process(upstream.port)
    send = attempt_sender.AttemptSender._send

    def sending(*args: Any) -> None:
        made.sending = True
        made.step("send")
        send(*args)
        made.sending = False

    monkeypatch.setattr(attempt_sender.AttemptSender, "_send", sending)
    monkeypatch.setattr(attempt_sender, "time", made)
    monkeypatch.setattr(upstream_client, "time", made)
    monkeypatch.setattr(upstream_exchange, "ResponseParser", made.make_parser)
    monkeypatch.setattr("os.writev", made.writev)
    yield made
    upstream.close()


@pytest.mark.parametrize("kind", ["first", "kept", "retry", "upload"])
@pytest.mark.parametrize(
    ("step", "slack"), [("send", 0.0), ("exchange", 0.0), ("clock", 150.0), ("left", 150.0)]
)
def test_forwarded_timeout_is_at_most_what_the_client_has_left(
    process: Process, kind: str, step: str, slack: float
) -> None:
    """It exceeds that only by a hold-up between the reading of the clock and the write."""
    process.run(kind, step)
    ((sent_ms, left_ms),) = process.written
    assert sent_ms <= left_ms + slack and process.done == [AttemptOutcome.OK]


@pytest.mark.parametrize("kind", ["first", "kept", "retry", "upload"])
@pytest.mark.parametrize("step", ["send", "exchange", "clock"])
def test_no_attempt_is_sent_for_a_client_that_left_in_a_hold_up(
    process: Process, kind: str, step: str
) -> None:
    process.during = lambda: setattr(process, "client_left", True)
    process.run(kind, step)
    assert process.written == []


@pytest.mark.parametrize("kind", ["first", "kept", "upload"])
def test_no_attempt_is_sent_after_a_backoff_in_which_its_client_left(process: Process, kind: str) -> None:
    """The first write failed locally, and the client left before the second. The attempt still ends."""
    process.run(kind, cannot_write=True)
    assert process.written == [] and process.done == [AttemptOutcome.NOT_SENT]


@pytest.mark.parametrize("kind", ["first", "kept", "retry"])
@pytest.mark.parametrize("step", ["send", "exchange"])
def test_no_attempt_is_sent_after_its_deadline(process: Process, kind: str, step: str) -> None:
    """Nothing was sent to the upstream, so it has not failed."""
    process.hold_up_s = BUDGET_S
    process.run(kind, step)
    assert process.written == [] and process.done == [AttemptOutcome.NOT_SENT]


def test_attempt_started_after_its_deadline_acquires_no_connection(process: Process) -> None:
    async def inside() -> int:
        client = upstream_client.UpstreamClient(
            process.coordinator,
            Counters("t"),
            upstream_client.UpstreamClientOptions(CONNECT_TIMEOUT_S, 30.0, 8),
        )
        attempt = process.open_attempt("late")
        process.now += BUDGET_S
        outbound = OutboundRequest(b"GET", b"/view/k", b"1", None, [], False)
        client.send_attempt(attempt, outbound, lambda _, response: process.on_ended(response))
        found = client.open
        await asyncio.sleep(0.0)
        return found

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(inside()) == 0
    assert process.done == [AttemptOutcome.NOT_SENT]


@pytest.mark.parametrize("kind", ["first", "kept", "retry", "upload"])
@pytest.mark.parametrize("step", ["send", "exchange", "clock", "left"])
def test_no_attempt_is_sent_once_its_upstream_drains_in_a_hold_up(
    process: Process, kind: str, step: str
) -> None:
    process.during = lambda: process.update_endpoints("Terminating")
    process.run(kind, step)
    assert process.written == [] and process.done == [AttemptOutcome.NOT_SENT]
