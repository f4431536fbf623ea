"""The watch on the list: what binds when, on a clock that moves by itself, and against the real program."""

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
from tests.peers import entry, ok, parse_endpoint_list, request, running, until

BOUND = 6.0  # s after which what a silent watch misses counts as notified
LEFT = 2.5  # s of these that the next call needs at least: it waits in turn, and may be refused once
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LIST = b'{"index":1,"snapshot":true,"endpoints":[]}\n'


class Clockwork(asyncio.SelectorEventLoop):
    """A loop whose clock moves on by itself to what is due next."""

    def __init__(self) -> None:
        super().__init__()
        self.now, looked = 0.0, self._selector.select  # type: ignore[attr-defined]

        def select(timeout: float | None) -> object:
            self.now += timeout or 0.0
            return looked(0)

        self._selector.select = select  # type: ignore[attr-defined]

    def time(self) -> float:
        return self.now


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


Script = Callable[["Watched"], Any]


class Watched:
    """A watch against scripted calls, one after the other: (s after the call was made, bytes; None resets
    it). After its script a call is silent; after the last script no call is answered."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, *calls: list[tuple[float, bytes | None]], pushed: bool = False
    ) -> None:
        self.loop = Clockwork()
        self.calls: list[float] = []
        self.listed: list[EndpointList] = []
        self.failed: list[float] = []

        async def connect(*_: object) -> tuple[asyncio.StreamReader, MagicMock]:
            reader = asyncio.StreamReader(loop=self.loop)
            number, begun = len(self.calls), self.loop.now
            self.calls.append(begun)
            for at, data in calls[number] if number < len(calls) else []:
                if data is None:
                    self.loop.call_at(begun + at, reader.set_exception, ConnectionResetError())
                else:
                    self.loop.call_at(begun + at, reader.feed_data, data)
            return reader, MagicMock()

        monkeypatch.setattr(asyncio, "open_connection", connect)
        self.discovery = DiscoveryClient(
            ("a", 1), Counters("t"), self.listed.append, lambda: self.failed.append(self.loop.now)
        )
        self.discovery.pushed = pushed

    def run(self, seconds: float) -> Watched:
        async def play() -> None:
            watch = self.loop.create_task(self.discovery.watch())
            await asyncio.wait([watch], timeout=seconds)
            watch.cancel()

        self.loop.run_until_complete(play())
        self.loop.close()
        return self


def beats(every: float, count: int) -> list[tuple[float, bytes | None]]:
    return [(0.0, HEAD + chunk(LIST)), *((every * n, chunk(b"\n")) for n in range(1, count + 1))]


@pytest.mark.parametrize(
    ("script", "silent", "lists"),
    [
        (beats(2.0, 5), 10.0, 1),
        (beats(2.9, 5), 14.5, 1),  # a line that is late is no silence
        ([], 0.0, 0),  # it fell silent before its answer began
        ([(0.0, HEAD)], 0.0, 0),  # ... before its first line
        ([(0.0, HEAD + chunk(LIST)), *((n * 0.5, chunk(b" ")) for n in range(1, 40))], 0.0, 1),  # no line
        ([(0.0, HEAD + chunk(LIST)), *((n * 0.5, chunk(b"{")) for n in range(1, 40))], 0.0, 1),
        # Half of a list, and then only signs of life.
        ([(0.0, HEAD + chunk(b'{"index":1,\n')), *((n * 2.0, chunk(b"\n")) for n in range(1, 9))], 0.0, 0),
    ],
)
def test_silent_watch_is_opened_anew_in_time_for_what_it_misses(
    monkeypatch: pytest.MonkeyPatch, script: list[tuple[float, bytes | None]], silent: float, lists: int
) -> None:
    """Found on brink days of another deployment: a call that was never answered was left after 6 s, and all
    that it missed was bound before the next one was answered. Before that a watch was left after 7 s."""
    found = Watched(monkeypatch, script, beats(2.0, 20)).run(silent + 20.0)
    assert len(found.calls) == 2 and found.calls[1] - silent <= BOUND - LEFT
    assert len(found.listed) == lists + 1 and not found.failed  # for it was mended at once


def test_discovery_that_never_answers_is_reported_once_and_given_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    found = Watched(monkeypatch).run(60.0)
    assert len(found.calls) == 2 and len(found.failed) == 1
    assert found.failed[0] - found.calls[1] >= BOUND  # where it has too many callers, the second may wait


@pytest.mark.parametrize("call", ["watch", "fetch"])
def test_call_that_ends_of_an_unforeseen_exception_is_reported_once(
    monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """Found by reading: nothing was reported, and no list was asked for any more."""

    async def broken(*_: object) -> None:
        raise ZeroDivisionError

    found = Watched(monkeypatch)
    monkeypatch.setattr(found.discovery, "_call", broken)
    found.loop.run_until_complete(getattr(found.discovery, call)())
    found.loop.close()
    assert found.failed == [0.0]


def test_list_that_could_not_be_taken_in_is_asked_for_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Found by reading: its version counted as had, and what it brought was never sent again."""
    found = Watched(monkeypatch, beats(2.0, 20), beats(2.0, 20), pushed=True)
    asked: list[int] = []

    def listed(news: EndpointList) -> None:
        asked.append(found.discovery.version)
        if len(asked) == 1:
            raise ZeroDivisionError

    monkeypatch.setattr(found.discovery, "_on_list", listed)
    found.run(3.0)
    assert asked == [0, 0] and found.discovery.version == 1


@pytest.mark.parametrize("pushed", [False, True])
def test_watch_that_is_reset_is_reported_or_opened_at_once(
    monkeypatch: pytest.MonkeyPatch, pushed: bool
) -> None:
    """What an agent that pushes has counts as notified without a watch, too; discovery that is asked has many
    callers, and when to ask it again is for the module to say."""
    script: list[tuple[float, bytes | None]] = [(0.0, HEAD + chunk(LIST)), (1.0, None)]
    found = Watched(monkeypatch, script, script, beats(2.0, 20), pushed=pushed).run(10.0)
    if pushed:
        assert not found.failed and found.calls == pytest.approx([0.0, 1.0, 2.0], abs=0.01)
    else:
        assert found.calls == [0.0] and found.failed == pytest.approx([1.0], abs=0.01)


def test_agent_that_is_away_is_called_again_soon_without_a_busy_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    refused: list[tuple[float, bytes | None]] = [(0.0, None)]
    found = Watched(monkeypatch, *[refused] * 40, beats(2.0, 20), pushed=True).run(10.0)
    assert len(found.calls) == 41 and not found.failed and len(found.listed) == 1
    gaps = [b - a for a, b in zip(found.calls, found.calls[1:], strict=False)]
    assert 0.02 <= min(gaps) <= max(gaps) <= 0.1


def test_agent_whose_lists_cannot_be_read_is_not_called_in_a_busy_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It answers, and what it says ends the watch at once, each time."""
    spoilt: list[tuple[float, bytes | None]] = [(0.0, HEAD + chunk(b"what is this\n"))]
    found = Watched(monkeypatch, *[spoilt] * 1000, pushed=True).run(1.0)
    assert 10 <= len(found.calls) <= 25


LISTS = [parse_endpoint_list(entry(f"s-{n}", 1000 + n), entry("s-9", 9000), index=n) for n in (1, 2, 3)]


@pytest.mark.parametrize("indent", [None, 0, 1, 4, "\t"])
@pytest.mark.parametrize("size", [1, 7, 100_000])
def test_lists_come_on_one_line_or_indented_in_pieces_of_any_size(
    monkeypatch: pytest.MonkeyPatch, indent: int | str | None, size: int
) -> None:
    body = b"\n".join(json.dumps(one, indent=indent).encode() + b"\n" for one in LISTS)
    script: list[tuple[float, bytes | None]] = [(0.0, HEAD)]
    script += [(0.01 + at * 1e-6, chunk(body[at : at + size])) for at in range(0, len(body), size)]
    found = Watched(monkeypatch, script, beats(2.0, 20)).run(1.0)
    assert [news.version for news in found.listed] == [1, 2, 3]
    assert [endpoint.name for endpoint in found.listed[2].endpoints] == ["s-3", "s-9"]


@pytest.mark.parametrize(
    "spoilt",
    [
        b"what is this\n",
        b"[]\n",
        b"{not json\n",
        b'{"index":2,"snapshot":true,"endpo\n',
        b'{"index":2,"snap\n' + LIST,  # cut off, and the next one whole
        b'{"index":"x","snapshot":true,"endpoints":[]}\n',
        b'{"index":2,"snapshot":true,"endpoints":[{"name":"s-0"}]}\n',
        b"{\n" * 10 + b'{"index":3,"snapshot":true,"endpoints":[]}\n',
    ],
)
def test_invalid_list_ends_the_watch_at_once_and_is_reported_once(
    monkeypatch: pytest.MonkeyPatch, spoilt: bytes
) -> None:
    found = Watched(monkeypatch, [(0.0, HEAD + chunk(LIST)), (1.0, chunk(spoilt))]).run(10.0)
    assert len(found.listed) == 1 and found.failed == pytest.approx([1.0], abs=0.01)


# --- the program ------------------------------------------------------------------------------------------


class Agent(peers.DiscoveryClient):
    """Discovery that answers a watch only when it is let."""

    def __init__(self) -> None:
        self.let, self.asked = threading.Event(), threading.Event()
        super().__init__()

    def _serve_connection(self, conn: socket.socket) -> None:
        self.asked.set()
        self.let.wait(peers.WAIT)
        super()._serve_connection(conn)


PUSHED = {**peers.SETTINGS, "membership-mode": "pushed"}


def test_where_lists_are_pushed_the_program_watches(tmp_path: Path) -> None:
    """Found on a deployment of our own: it never asked there, and forwarded requests to upstreams that
    drained."""
    with running(tmp_path, ok_from(0), ok_from(1), settings=PUSHED) as (program, upstreams, discovery):
        until(lambda: bool(discovery.watches))
        drained = entry("s-0", upstreams[0].port, "Terminating")
        discovery.push(json.dumps(parse_endpoint_list(drained, index=2, whole=False)).encode())
        until(lambda: program.counters()["endpoint_lists"] >= 1)
        before = len(upstreams[0].got)
        for _ in range(30):
            assert program.ask(request())[1].body == b"1"
        assert len(upstreams[0].got) == before
        # A watch that ends is opened anew, with no word of the module's.
        discovery.watches.pop().shutdown(socket.SHUT_RDWR)
        until(lambda: len(discovery.watches) == 1)
        assert discovery.got[-1].line == "GET /catalog/members?watch=1&after=2 HTTP/1.1"


def ok_from(number: int) -> Callable[[peers.Message], bytes]:
    return lambda message: ok(b"%d" % number)


def test_where_lists_are_pushed_the_old_list_alone_sends_nothing(tmp_path: Path) -> None:
    """What the agent has binds from the start of a process on: a request that comes before its word
    waits for that word. The answer of the agent is held back until the request is here."""
    agent = Agent()
    with running(tmp_path, ok_from(0), ok_from(1), settings=PUSHED, discovery=agent, wait=False) as (
        program,
        upstreams,
        _,
    ):
        assert agent.asked.wait(peers.WAIT)
        until(program.ready)
        assert program.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 503
        with program.connect() as conn:
            conn.sendall(request(wait_ms=20_000))
            until(lambda: program.counters().get("requests_accepted", 0) == 1)
            assert upstreams[0].got == upstreams[1].got == []
            agent.let.set()
            drained = entry("s-0", upstreams[0].port, "Terminating")
            agent.push(json.dumps(parse_endpoint_list(drained, index=2, whole=False)).encode())
            assert peers.read_answer(conn.makefile("rb"))[1].body == b"1"
        assert upstreams[0].got == [] and program.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 200


def test_agent_that_stays_silent_does_not_keep_the_program_from_serving(tmp_path: Path) -> None:
    agent = Agent()
    with running(tmp_path, ok_from(0), settings=PUSHED, discovery=agent) as (program, _, _d):
        begun = time.monotonic()
        until(lambda: program.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")[0] == 200)
        assert program.ask(request())[0] == 200 and time.monotonic() - begun < peers.WAIT
        agent.let.set()


@pytest.mark.parametrize("poll_within", [2.0, 10.0, 600.0])
def test_discovery_that_comes_back_is_asked_in_time_for_what_it_has(poll_within: float) -> None:
    """However many calls failed, a change counts as notified 6 s after discovery could be reached. A connect
    that began before that asks again after 1 s, and so lasts 1 s more at the most, of its 2, where it fails:
    that and the wait leave 2 s for the answer."""
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
        assert 0.5 * min(poll_within * 0.4, 2.9) < longest <= min(BOUND - 1.0 - 2.0, poll_within)
