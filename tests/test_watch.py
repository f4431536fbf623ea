"""Tests of the watch on the endpoint list: its timing on a simulated clock, and with the real program."""

from __future__ import annotations

import asyncio
import json
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import pytest

from indigokeel.balancing.actions import SetTimer, WatchEndpoints
from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import MembershipUpdate, TimerFired, UpdateKind
from indigokeel.balancing.settings import ClassSettings, Idempotency, Safety, Settings
from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.metrics import Counters
from indigokeel.net.discovery import DiscoveryClient
from tests import peers
from tests.peers import entry, make_endpoint_list, ok, request, running, until

# Seconds after which the sidecar counts as notified of a change that a silent watch missed.
NOTIFIED_AFTER_S = 6.0
# Seconds of these that the next call needs at least: it may wait in a queue and be rejected once.
MIN_TIME_FOR_CALL_S = 2.5
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
EMPTY_LIST = b'{"index":1,"snapshot":true,"endpoints":[]}\n'


class SimulatedClockLoop(asyncio.SelectorEventLoop):
    """An event loop with a simulated clock, which jumps to the time of the next timer."""

    def __init__(self) -> None:
        super().__init__()
        self.now, real_select = 0.0, self._selector.select  # type: ignore[attr-defined]

        def select(timeout: float | None) -> object:
            self.now += timeout or 0.0
            return real_select(0)

        self._selector.select = select  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


Script = Callable[["ScriptedWatch"], Any]


class ScriptedWatch:
    """A watch whose successive calls are answered by scripts of (seconds after the call, bytes; None resets
    the connection). After its script a call is silent; calls after the last script are not answered."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *calls: list[tuple[float, bytes | None]], pushed: bool = False
    ) -> None:
        self.loop = SimulatedClockLoop()
        self.calls: list[float] = []
        self.listed: list[EndpointList] = []
        self.failed: list[float] = []

        async def connect(*_: object) -> tuple[asyncio.StreamReader, MagicMock]:
            reader = asyncio.StreamReader(loop=self.loop)
            number, started_at = len(self.calls), self.loop.now
            self.calls.append(started_at)
            for at, data in calls[number] if number < len(calls) else []:
                if data is None:
                    self.loop.call_at(started_at + at, reader.set_exception, ConnectionResetError())
                else:
                    self.loop.call_at(started_at + at, reader.feed_data, data)
            return reader, MagicMock()

        monkeypatch.setattr(asyncio, "open_connection", connect)
        self.discovery = DiscoveryClient(
            ("a", 1), Counters("t"), self.listed.append, lambda: self.failed.append(self.loop.now)
        )
        self.discovery.pushed = pushed

    def run(self, seconds: float) -> ScriptedWatch:
        async def run_watch() -> None:
            watch = self.loop.create_task(self.discovery.watch())
            await asyncio.wait([watch], timeout=seconds)
            watch.cancel()

        self.loop.run_until_complete(run_watch())
        self.loop.close()
        return self


def heartbeats(interval_s: float, count: int) -> list[tuple[float, bytes | None]]:
    return [(0.0, HEAD + chunk(EMPTY_LIST)), *((interval_s * n, chunk(b"\n")) for n in range(1, count + 1))]


@pytest.mark.parametrize(
    ("script", "silent_at", "lists"),
    [
        (heartbeats(2.0, 5), 10.0, 1),
        (heartbeats(2.9, 5), 14.5, 1),  # a late line, within the timeout
        ([], 0.0, 0),  # silent before the answer began
        ([(0.0, HEAD)], 0.0, 0),  # silent before the first line
        # Bytes arrive, but no complete line.
        ([(0.0, HEAD + chunk(EMPTY_LIST)), *((n * 0.5, chunk(b" ")) for n in range(1, 40))], 0.0, 1),
        ([(0.0, HEAD + chunk(EMPTY_LIST)), *((n * 0.5, chunk(b"{")) for n in range(1, 40))], 0.0, 1),
        # Half of a list, followed by empty lines only.
        ([(0.0, HEAD + chunk(b'{"index":1,\n')), *((n * 2.0, chunk(b"\n")) for n in range(1, 9))], 0.0, 0),
    ],
)
def test_silent_watch_is_reopened_in_time_for_missed_changes(
    monkeypatch: pytest.MonkeyPatch, script: list[tuple[float, bytes | None]], silent_at: float, lists: int
) -> None:
    """Guards against giving up a call that is not answered only after 6 s (or a watch after 7 s): the changes
    missed meanwhile counted as notified before the next call was answered. Seen on deployments near their
    capacity."""
    scripted = ScriptedWatch(monkeypatch, script, heartbeats(2.0, 20)).run(silent_at + 20.0)
    assert (
        len(scripted.calls) == 2 and scripted.calls[1] - silent_at <= NOTIFIED_AFTER_S - MIN_TIME_FOR_CALL_S
    )
    assert len(scripted.listed) == lists + 1 and not scripted.failed  # as the watch was reopened at once


def test_discovery_that_never_answers_is_reported_once_after_a_longer_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scripted = ScriptedWatch(monkeypatch).run(60.0)
    assert len(scripted.calls) == 2 and len(scripted.failed) == 1
    # The second call may have to wait, as discovery may have too many callers.
    assert scripted.failed[0] - scripted.calls[1] >= NOTIFIED_AFTER_S


@pytest.mark.parametrize("call", ["watch", "fetch"])
def test_call_that_raises_an_unexpected_exception_is_reported_once(
    monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """Guards against an exception after which nothing is reported and no list is requested any more."""

    async def raise_error(*_: object) -> None:
        raise ZeroDivisionError

    scripted = ScriptedWatch(monkeypatch)
    monkeypatch.setattr(scripted.discovery, "_call", raise_error)
    scripted.loop.run_until_complete(getattr(scripted.discovery, call)())
    scripted.loop.close()
    assert scripted.failed == [0.0]


def test_list_that_could_not_be_applied_is_requested_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against counting the version of such a list as received: its changes were never sent again."""
    scripted = ScriptedWatch(monkeypatch, heartbeats(2.0, 20), heartbeats(2.0, 20), pushed=True)
    requested_versions: list[int] = []

    def record_list(update: EndpointList) -> None:
        requested_versions.append(scripted.discovery.version)
        if len(requested_versions) == 1:
            raise ZeroDivisionError

    monkeypatch.setattr(scripted.discovery, "_on_list", record_list)
    scripted.run(3.0)
    assert requested_versions == [0, 0] and scripted.discovery.version == 1


@pytest.mark.parametrize("pushed", [False, True])
def test_reset_watch_is_reported_or_reopened_at_once(monkeypatch: pytest.MonkeyPatch, pushed: bool) -> None:
    """Changes known to an agent that pushes count as notified even without a watch, so the watch is reopened
    at once. Discovery that is polled has many callers, so the balancer decides when to call it again."""
    script: list[tuple[float, bytes | None]] = [(0.0, HEAD + chunk(EMPTY_LIST)), (1.0, None)]
    scripted = ScriptedWatch(monkeypatch, script, script, heartbeats(2.0, 20), pushed=pushed).run(10.0)
    if pushed:
        assert not scripted.failed and scripted.calls == pytest.approx([0.0, 1.0, 2.0], abs=0.01)
    else:
        assert scripted.calls == [0.0] and scripted.failed == pytest.approx([1.0], abs=0.01)


def test_unreachable_agent_is_called_again_soon_but_not_in_a_busy_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    refused_call: list[tuple[float, bytes | None]] = [(0.0, None)]
    scripted = ScriptedWatch(monkeypatch, *[refused_call] * 40, heartbeats(2.0, 20), pushed=True).run(10.0)
    assert len(scripted.calls) == 41 and not scripted.failed and len(scripted.listed) == 1
    gaps = [b - a for a, b in zip(scripted.calls, scripted.calls[1:], strict=False)]
    assert 0.02 <= min(gaps) <= max(gaps) <= 0.1


def test_agent_that_sends_invalid_lists_is_not_called_in_a_busy_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The agent answers each call with an invalid list, which ends the watch at once."""
    invalid: list[tuple[float, bytes | None]] = [(0.0, HEAD + chunk(b"what is this\n"))]
    scripted = ScriptedWatch(monkeypatch, *[invalid] * 1000, pushed=True).run(1.0)
    assert 10 <= len(scripted.calls) <= 25


LISTS = [make_endpoint_list(entry(f"s-{n}", 1000 + n), entry("s-9", 9000), index=n) for n in (1, 2, 3)]


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_lists_on_one_line_or_indented_are_read_in_pieces_of_any_size(
    monkeypatch: pytest.MonkeyPatch, indent: int | str | None, size: int
) -> None:
    body = b"\n".join(json.dumps(endpoint_list, indent=indent).encode() + b"\n" for endpoint_list in LISTS)
    script: list[tuple[float, bytes | None]] = [(0.0, HEAD)]
    script += [(0.01 + at * 1e-6, chunk(body[at : at + size])) for at in range(0, len(body), size)]
    scripted = ScriptedWatch(monkeypatch, script, heartbeats(2.0, 20)).run(1.0)
    assert [update.version for update in scripted.listed] == [1, 2, 3]
    assert [endpoint.name for endpoint in scripted.listed[2].endpoints] == ["s-3", "s-9"]


@pytest.mark.parametrize(
    "invalid",
    [
        b"what is this\n",
        b"[]\n",
        b"{not json\n",
        b'{"index":2,"snapshot":true,"endpo\n',
        b'{"index":2,"snap\n' + EMPTY_LIST,  # truncated, followed by a complete list
        b'{"index":"x","snapshot":true,"endpoints":[]}\n',
        b'{"index":2,"snapshot":true,"endpoints":[{"name":"s-0"}]}\n',
        b"{\n" * 10 + b'{"index":3,"snapshot":true,"endpoints":[]}\n',
    ],
)
def test_invalid_list_ends_the_watch_at_once_and_is_reported_once(
    monkeypatch: pytest.MonkeyPatch, invalid: bytes
) -> None:
    scripted = ScriptedWatch(monkeypatch, [(0.0, HEAD + chunk(EMPTY_LIST)), (1.0, chunk(invalid))]).run(10.0)
    assert len(scripted.listed) == 1 and scripted.failed == pytest.approx([1.0], abs=0.01)


# --- the real program -------------------------------------------------------------------------------------


class Agent(peers.DiscoveryServer):
    """A discovery service that answers watches only once ``release`` is set."""

    def __init__(self) -> None:
        self.release, self.asked = threading.Event(), threading.Event()
        super().__init__()

    def _serve_connection(self, conn: socket.socket) -> None:
        self.asked.set()
        self.release.wait(peers.TIMEOUT_S)
        super()._serve_connection(conn)


PUSHED = {**peers.SETTINGS, "membership-mode": "pushed"}


def test_program_watches_where_lists_are_pushed(tmp_path: Path) -> None:
    """Guards against a program that does not watch in this mode, and so forwards requests to draining
    upstreams, as seen in a deployment."""
    with running(tmp_path, ok_from(0), ok_from(1), settings=PUSHED) as (program, upstreams, discovery):
        until(lambda: bool(discovery.watches))
        drained = entry("s-0", upstreams[0].port, "Terminating")
        discovery.push(json.dumps(make_endpoint_list(drained, index=2, snapshot=False)).encode())
        until(lambda: program.counters()["endpoint_lists"] >= 1)
        before = len(upstreams[0].received)
        for _ in range(30):
            assert program.exchange(request())[1].body == b"1"
        assert len(upstreams[0].received) == before
        # A watch that ends is reopened without an action of the balancer.
        discovery.watches.pop().shutdown(socket.SHUT_RDWR)
        until(lambda: len(discovery.watches) == 1)
        assert discovery.received[-1].line == "GET /catalog/members?watch=1&after=2 HTTP/1.1"


def ok_from(number: int) -> Callable[[peers.Message], bytes]:
    return lambda message: ok(b"%d" % number)


def test_requests_wait_for_the_first_list_where_lists_are_pushed(tmp_path: Path) -> None:
    """Changes known to the agent count as notified from the start of a process, so a request that arrives
    before the first list waits for it. The agent's answer is held back until the request has arrived."""
    agent = Agent()
    with running(tmp_path, ok_from(0), ok_from(1), settings=PUSHED, discovery=agent, wait=False) as (
        program,
        upstreams,
        _,
    ):
        assert agent.asked.wait(peers.TIMEOUT_S)
        until(program.ready)
        assert program.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 503
        with program.connect() as conn:
            conn.sendall(request(wait_ms=20_000))
            until(lambda: program.counters().get("requests_accepted", 0) == 1)
            assert upstreams[0].received == upstreams[1].received == []
            agent.release.set()
            drained = entry("s-0", upstreams[0].port, "Terminating")
            agent.push(json.dumps(make_endpoint_list(drained, index=2, snapshot=False)).encode())
            assert peers.read_response(conn.makefile("rb"))[1].body == b"1"
        assert (
            upstreams[0].received == []
            and program.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 200
        )


def test_silent_agent_does_not_prevent_the_program_from_serving(tmp_path: Path) -> None:
    agent = Agent()
    with running(tmp_path, ok_from(0), settings=PUSHED, discovery=agent) as (program, _, _d):
        started_at = time.monotonic()
        until(lambda: program.exchange(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 200)
        assert program.exchange(request())[0] == 200 and time.monotonic() - started_at < peers.TIMEOUT_S
        agent.release.set()


@pytest.mark.parametrize("poll_within", [2.0, 10.0, 600.0])
def test_discovery_that_recovers_is_called_in_time_for_its_changes(poll_within: float) -> None:
    """However many calls failed, a change counts as notified 6 s after discovery became reachable. A connect
    that began before that sends its SYN again after 1 s, so it lasts at most 1 s more (of its 2 s) if it
    fails. This and the wait before the next call leave 2 s for the answer."""
    settings = Settings(
        classes=(ClassSettings("view", latency_objective=0.5, deadline=1.5, idempotency=Idempotency.SAFE),),
        safety=Safety(poll_within=poll_within),
        polls_membership=True,
    )
    for seed in range(20):
        balancer = Balancer(settings, seed)
        now, longest = 0.0, 0.0
        for _ in range(40):
            actions = balancer.handle(now, MembershipUpdate(UpdateKind.FAILED))
            (timer,) = [action for action in actions if isinstance(action, SetTimer)]
            longest, now = max(longest, timer.delay), now + timer.delay
            actions = balancer.handle(now, TimerFired(timer.token))
            assert any(isinstance(action, WatchEndpoints) for action in actions)
        assert 0.5 * min(poll_within * 0.4, 2.9) < longest <= min(NOTIFIED_AFTER_S - 1.0 - 2.0, poll_within)
