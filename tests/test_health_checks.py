"""Tests of health checks: by the upstream client, and in a program that has no other load reports."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from pathlib import Path
from typing import Any

import pytest
import uvloop

from indigokeel.balancing.events import AttemptOutcome, LoadReport
from indigokeel.config import decode_settings
from indigokeel.endpoints.endpoint_list import parse_endpoint_list
from indigokeel.metrics import Counters
from indigokeel.net.messages import OutboundRequest
from indigokeel.net.upstream.client import UpstreamClient, UpstreamClientOptions
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Request
from tests import peers
from tests.peers import SETTINGS, Message, echo, entry, ok, request, running, until
from tests.test_endings import HeldUpstream


def make_coordinator(port: int) -> RequestCoordinator:
    """Return a coordinator whose only upstream, s-0, listens on the given port."""
    coordinator = RequestCoordinator(decode_settings(peers.SETTINGS), 1, 0.0)
    entry = peers.entry("s-0", port)
    coordinator.update_endpoints(0.0, parse_endpoint_list(peers.make_endpoint_list(entry)))
    return coordinator


async def wait_until_idle(client: UpstreamClient) -> None:
    """Wait until a connection is idle."""
    for _ in range(2000):
        if client.connections.idle_count():
            return
        await asyncio.sleep(0.001)
    raise AssertionError("no connection became idle")


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (peers.ok(b"inflight=7,util=0.5"), (AttemptOutcome.OK, LoadReport(in_flight=7.0, utilisation=0.5))),
        (peers.ok(b"", "Server-Load: qps=3\r\n"), (AttemptOutcome.OK, LoadReport(rate=3.0))),
        (peers.status(503), (AttemptOutcome.REJECTED, None)),
        (b"odd", (AttemptOutcome.BROKEN, None)),
        (None, (AttemptOutcome.BROKEN, None)),
    ],
)
def test_health_check_returns_outcome_and_load_report(
    answer: bytes | None, expected: tuple[AttemptOutcome, LoadReport | None]
) -> None:
    upstream = peers.Peer(lambda message: b"!" + answer if answer else None)
    coordinator = make_coordinator(upstream.port)
    client = UpstreamClient(coordinator, Counters("t"), UpstreamClientOptions(0.25, 30.0, 8))
    assert asyncio.run(client.check_health("s-0")) == expected
    assert upstream.received[0].line == "GET /_load HTTP/1.1"
    upstream.close()
    assert asyncio.run(client.check_health("s-1")) == (AttemptOutcome.NOT_SENT, None)


ENDLESS_BODIES = {
    "chunked": (peers.OPEN_CHUNKED_RESPONSE, b"10000\r\n" + bytes(65536) + b"\r\n"),
    "with a length": (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", bytes(65536)),
    "until the close": (b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", bytes(65536)),
}


@pytest.mark.parametrize(("start", "rest"), ENDLESS_BODIES.values(), ids=ENDLESS_BODIES)
def test_health_check_with_an_endless_response_is_broken_off(start: bytes, rest: bytes) -> None:
    """Guards against the end of the process by one response: 192 MB were held within half a second."""
    sent_bytes = 0

    def exchange(conn: socket.socket, file: Any) -> None:
        nonlocal sent_bytes
        file.readline()
        conn.sendall(start)
        for _ in range(1000):
            conn.sendall(rest)
            sent_bytes += len(rest)

    upstream = peers.RawUpstream(exchange)
    client = UpstreamClient(
        make_coordinator(upstream.port), Counters("t"), UpstreamClientOptions(0.25, 30.0, 8)
    )
    assert asyncio.run(client.check_health("s-0")) == (AttemptOutcome.BROKEN, None)
    until(lambda: upstream.connections_closed == 1)
    assert sent_bytes < 16 << 20  # what the sockets hold


async def send_attempt(
    client: UpstreamClient, coordinator: RequestCoordinator, number: int
) -> AttemptOutcome:
    """Send the first attempt of a request and return its outcome."""
    attempt = coordinator.pick(time.monotonic(), Request(f"j{number}", "view", 60.0)).attempts[0]
    outcome: asyncio.Future[AttemptOutcome] = asyncio.get_running_loop().create_future()
    outbound = OutboundRequest(b"GET", b"/view/k", b"%d" % number, None, [], False)
    client.send_attempt(attempt, outbound, lambda _, response: outcome.set_result(response.outcome))
    return await outcome


def test_health_checks_and_attempts_share_connections() -> None:
    """Guards against a new connection for each health check, or for each attempt that follows one."""
    counters = Counters("t")

    async def alternate() -> list[AttemptOutcome]:
        coordinator = make_coordinator(upstream.port)
        client = UpstreamClient(coordinator, counters, UpstreamClientOptions(0.25, 30.0, 8))
        outcomes = []
        for number in range(5):
            assert (await client.check_health("s-0"))[0] is AttemptOutcome.OK
            await wait_until_idle(client)
            outcomes.append(await send_attempt(client, coordinator, number))
            await wait_until_idle(client)
        client.drain_connections("s-0")
        return outcomes

    upstream = peers.Peer(lambda message: peers.ok(b"inflight=7,util=0.5"))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        assert runner.run(alternate()) == [AttemptOutcome.OK] * 5
    assert counters["upstream_connections"] == 1 and len(upstream.received) == 10
    upstream.close()


@pytest.mark.parametrize("body", [b"", b"inflight=-1,util=x", b"inflight=1e99", b"{}", b"\xff\x00"])
def test_health_check_with_invalid_figures_succeeds_without_a_load_report(body: bytes) -> None:
    upstream = peers.Peer(lambda message: peers.ok(body))
    coordinator = make_coordinator(upstream.port)
    counters = Counters("t")
    client = UpstreamClient(coordinator, counters, UpstreamClientOptions(0.25, 30.0, 8))
    assert asyncio.run(client.check_health("s-0")) == (AttemptOutcome.OK, None)
    assert counters["upstream_health_checks_without_report"] == counters["upstream_health_check_ok"] == 1
    upstream.close()


HEALTH_CHECKED: dict[str, Any] = {
    **SETTINGS,
    "telemetry": {"how": "probe", "columns": ["rif", "busy", "lat_ms", "rate"]},
    "limits": {**SETTINGS["limits"], "probes": True},
}


class ReportingUpstream:
    """The script of an upstream that reports a given load to health checks and echoes requests."""

    def __init__(self, load: bytes) -> None:
        self.load, self.health_checks = load, 0

    def __call__(self, message: Message) -> bytes:
        if "/_load" not in message.line:
            return echo(message)
        self.health_checks += 1
        return ok(self.load)


def test_upstream_that_reports_overload_gets_no_requests_until_its_load_falls(tmp_path: Path) -> None:
    upstream = ReportingUpstream(b"inflight=500,util=1.0,latency_ms=80,qps=20")
    with running(tmp_path, upstream, settings=HEALTH_CHECKED) as (program, (peer,), _):
        until(lambda: program.exchange(request("pay", b"x"))[0] == 503)
        assert upstream.health_checks > 0 and program.counters()["upstream_health_check_ok"] > 0
        upstream.load = b"inflight=0,util=0.1,latency_ms=80,qps=20"
        until(lambda: program.exchange(request("pay", b"y"))[0] == 200)
        counters = program.counters()
        assert (
            counters["requests_unanswered"] == 0
            and counters.get("upstream_health_checks_without_report", 0) == 0
        )


def test_health_checks_without_figures_fail_no_request(tmp_path: Path) -> None:
    upstream = ReportingUpstream(b"")
    with running(tmp_path, upstream, settings=HEALTH_CHECKED) as (program, _, _d):
        for number in range(40):
            assert program.exchange(request("pay", b"%d" % number))[0] == 200
        until(lambda: program.counters().get("upstream_health_checks_without_report", 0) >= 8)


def test_health_check_in_progress_while_its_upstream_drains_and_goes_fails_no_request(tmp_path: Path) -> None:
    """One of two upstreams answers neither health checks nor requests while it drains and becomes Gone."""
    silent, other = HeldUpstream(ReportingUpstream(b"inflight=0")), ReportingUpstream(b"inflight=0")
    with running(tmp_path, silent, other, settings=HEALTH_CHECKED) as (program, _, discovery):
        until(lambda: bool(discovery.watches))
        conns = [program.connect() for _ in range(8)]
        for conn in conns:
            conn.sendall(request("pay", b"x", wait_ms=60_000))
        until(lambda: any("/_load" in message.line for message in silent.received))
        for index, state in ((2, "Terminating"), (3, "Gone")):
            entries = peers.make_endpoint_list(entry("s-0", silent.port, state), index=index, snapshot=False)
            discovery.push(json.dumps(entries).encode())
            until(lambda: program.counters().get("endpoint_lists", 0) == index - 1)  # noqa: B023
            for number in range(12):
                assert program.exchange(request("pay", b"%d" % number))[1].body == b"%d" % number
            # The silent upstream has received nothing but health checks and requests sent before the drain.
            assert {message.body for message in silent.received} <= {b"", b"x"}
        silent.release.set()
        until(lambda: program.counters()["requests_unanswered"] == 0)
        assert program.counters().get("task_faults", 0) == 0
        for conn in conns:
            conn.close()
