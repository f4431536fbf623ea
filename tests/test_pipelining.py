"""Requests that are pipelined on one client connection: each that was read has one response, in order; only
broken framing ends the connection, after the responses to what came before it."""

from __future__ import annotations

import asyncio
import gc
import json
import re
import signal
import socket
import weakref
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.metrics import Counters
from indigokeel.net.downstream.client_connection import ClientConnection, FinalResponse
from indigokeel.net.downstream.pipeline import MAX_QUEUED_REQUESTS
from indigokeel.net.downstream.received_request import ReceivedRequest
from indigokeel.net.downstream.request_decoder import read_request
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.requests.effects import FinalStatus, Request
from tests.peers import WAIT, Peer, echo, entry, parse_endpoint_list, read_answer, request, running, until
from tests.test_endings import HEALTH, Held
from tests.test_net import OverloadedHandler

LONG = b"z" * 150_000
PAY, LAST = request("pay", b"one"), request("pay", b"last")
BAD_CHUNK = request("odd", more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")


def without(name: bytes, raw: bytes) -> bytes:
    """Return a request without one of its headers."""
    return re.sub(name + rb": [^\r]*\r\n", b"", raw)


def codes_of(conn: socket.socket) -> list[int]:
    """Return the status codes of all responses up to the end of the stream."""
    file, found = conn.makefile("rb"), []
    while file.peek(1):
        found.append(read_answer(file)[0])
    return found


@pytest.mark.parametrize(
    ("between", "codes"),
    [
        (request("pay", b"x") * 0, []),
        (b"".join(request("pay", b"x") for _ in range(10)), [200] * 10),
        (b"".join(request("pay", b"x") for _ in range(200)), [200] * 200),
        (HEALTH * 5000, [200] * 5000),
        (b"GET / HTTP/1.1\r\n\r\n" * 1000, [400] * 1000),
        (request("odd", b"x") * 3, [400] * 3),
        (without(b"Request-Id", PAY), [400]),
        (without(b"Request-Timeout-Ms", PAY), [400]),
        (request("pay", b"x", wait_ms=-5), [400]),
        (request("order", b"x"), [400]),  # without its Idempotency-Key
        (PAY.replace(b"POST", b"PUT"), [405]),
        (PAY.replace(b"/pay", b"/view"), [404]),
        (request("odd", LONG), [400]),
        (BAD_CHUNK + b"9000\r\n" + b"x" * 0x9000 + b"\r\n0\r\n\r\n", [400]),
        (HEALTH.replace(b"\r\n\r\n", b"\r\nContent-Length: 150000\r\n\r\n") + LONG, [413]),
        (request("odd") + request("pay", LONG) + request("odd"), [400, 200, 400]),
    ],
)
def test_each_request_that_was_read_has_its_answer_in_its_place(
    tmp_path: Path, between: bytes, codes: list[int]
) -> None:
    with running(tmp_path, echo) as (program, (upstream,), _), program.connect() as conn:
        conn.settimeout(WAIT)
        conn.sendall(PAY + between + request("pay", b"last", more="Connection: close\r\n"))
        assert codes_of(conn) == [200, *codes, 200]
        assert (upstream.got[0].body, upstream.got[-1].body) == (b"one", b"last")
        assert len(upstream.got) == 2 + codes.count(200) * (between[:9] != HEALTH[:9])


@pytest.mark.parametrize(
    "broken",
    [
        b"garbage\r\n\r\n",
        request("pay", b"x", more="Transfer-Encoding: chunked\r\n"),
        b"POST /pay/1 HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"A: b\r\n" * 20_000 + b"\r\n",
        b"POST /pay/1 HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n",
    ],
)
def test_broken_framing_ends_the_connection_after_the_answers_to_what_came_before(
    tmp_path: Path, broken: bytes
) -> None:
    with running(tmp_path, echo) as (program, (upstream,), _), program.connect() as conn:
        conn.settimeout(WAIT)
        conn.sendall(PAY * 1 + request("odd", b"x") + LAST + broken + request("pay", b"never"))
        found = codes_of(conn)
        assert found[:3] == [200, 400, 200] and len(found) == 4 and found[3] in (400, 413, 431)
        assert [message.body for message in upstream.got] == [b"one", b"last"]


def test_request_has_one_error_response_even_if_its_body_breaks_off_later(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d), program.connect() as conn:
        conn.sendall(BAD_CHUNK)
        file = conn.makefile("rb")
        assert read_answer(file)[0] == 400  # before its body has come
        conn.sendall(b"zz\r\n" + PAY)
        assert file.read() == b""


def test_streamed_body_that_breaks_off_after_its_response_gets_no_second_one(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _, _d), program.connect() as conn:
        head = request("pay", wait_ms=500, more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
        conn.sendall(head + b"20000\r\n" + b"x" * 0x20000 + b"\r\n")
        file = conn.makefile("rb")
        assert read_answer(file)[0] == 503  # there is no upstream
        conn.sendall(b"zz\r\n")
        assert file.read() == b""


def test_error_of_a_head_request_has_no_body_that_its_client_does_not_expect(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d), program.connect() as conn:
        conn.sendall(request("view").replace(b"GET", b"HEAD") + PAY)
        file = conn.makefile("rb")
        code, answer = read_answer(file)
        assert (code, answer.headers["content-length"]) == (405, "0")
        assert read_answer(file)[1].body == b"one"


def test_duplicate_request_id_is_refused_in_order(tmp_path: Path) -> None:
    held, quick = Held(), Peer(echo)
    same = PAY.replace(b"one", LONG).replace(b"Length: 3", b"Length: %d" % len(LONG))  # its body is long
    with (
        running(tmp_path, held) as (program, _, discovery),
        program.connect() as other,
        program.connect() as conn,
    ):
        other.sendall(PAY)
        until(lambda: len(held.got) == 1)
        discovery.push(json.dumps(parse_endpoint_list(entry("s-1", quick.port), index=2)).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        conn.sendall(request("pay", b"2") + PAY + request("pay", b"3") + same + request("pay", b"4"))
        file = conn.makefile("rb")
        assert [read_answer(file)[0] for _ in range(5)] == [200, 409, 200, 409, 200]
        held.let.set()
        assert read_answer(other.makefile("rb"))[1].body == b"one"
    quick.close()


def test_long_body_that_is_complete_before_its_turn_does_not_block_reading(tmp_path: Path) -> None:
    """Reading resumes once the body need not be streamed any more."""
    chunks = b"".join(b"%x\r\n%s\r\n" % (9000, b"x" * 9000) for _ in range(9)) + b"0\r\n\r\n"
    long = request("pay", more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST") + chunks
    with running(tmp_path, Held()) as (program, (upstream,), _), program.connect() as conn:
        conn.sendall(PAY + long)
        until(lambda: len(upstream.got) == 1)
        program.counters()
        upstream.let.set()  # type: ignore[attr-defined]
        file = conn.makefile("rb")
        assert read_answer(file)[0] == read_answer(file)[0] == 200
        conn.sendall(LAST)
        assert read_answer(file)[1].body == b"last"


def test_continue_is_sent_in_order_behind_another_request(tmp_path: Path) -> None:
    with running(tmp_path, Held()) as (program, (upstream,), _), program.connect() as conn:
        conn.sendall(PAY + request("pay", b"late", more="Expect: 100-continue\r\n")[:-4])
        until(lambda: len(upstream.got) == 1)
        program.counters()
        upstream.let.set()  # type: ignore[attr-defined]
        file = conn.makefile("rb")
        assert read_answer(file)[1].body == b"one" and file.readline().startswith(b"HTTP/1.1 100")
        assert file.readline() == b"\r\n"
        conn.sendall(b"late")
        assert read_answer(file)[1].body == b"late"


def test_requests_that_ran_out_of_time_behind_another_are_refused_and_never_sent(tmp_path: Path) -> None:
    """Their budget has run since they arrived. Forwarded, they would count as late responses of the
    upstreams."""
    with running(tmp_path, Held(), Held()) as (program, upstreams, _), program.connect() as conn:
        ahead = b"".join(request("pay", b"x", wait_ms=300) for _ in range(20))
        conn.sendall(request("pay", b"first", wait_ms=1000) + ahead + LAST)
        file = conn.makefile("rb")
        found = [read_answer(file)[0] for _ in range(21)]
        assert found == [500] + [503] * 20
        until(lambda: sum(len(upstream.got) for upstream in upstreams) == 2)
        for upstream in upstreams:
            upstream.let.set()  # type: ignore[attr-defined]
        assert read_answer(file)[1].body == b"last"
        counters = program.counters()
        assert (counters["requests_out_of_time"], counters["attempts_sent"]) == (20, 2)
        assert "shedding load" not in program.log.read_text()


def test_what_was_read_when_the_process_ends_has_its_answer(tmp_path: Path) -> None:
    with running(tmp_path, Held()) as (program, (upstream,), _), program.connect() as conn:
        conn.settimeout(WAIT)
        conn.sendall(
            b"".join(request("pay", b"x", wait_ms=60_000) for _ in range(60)) + HEALTH + request("odd")
        )
        until(lambda: len(upstream.got) == 1)
        program.process.send_signal(signal.SIGTERM)
        found = codes_of(conn)
        assert len(found) == 62 and set(found[:60]) <= {500, 503} and found[60:] == [503, 400]
        assert program.process.wait(WAIT) == 0 and program.last_counters()["requests_unanswered"] == 0


# --- in this process --------------------------------------------------------------------------------------


class Handler(OverloadedHandler):
    """A sidecar that responds with the request's body, unless it is ``slow``: then the test responds."""

    overloaded = False

    def __init__(self, slow: bool = False, faulty: Callable[[Request], bool] = lambda request: False) -> None:
        self.slow = slow
        self.faulty = faulty
        self.request_ids: list[str] = []
        self.budget = 0.0  # of the last one

    def shed_early(
        self, connection: ClientConnection, arrived: float, class_name: str, budget: float
    ) -> float | None:
        return None

    def handle_request(
        self, connection: ClientConnection, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        if self.faulty(request):
            raise KeyError("a fault")
        self.request_ids.append(request.id)
        self.budget = request.budget
        if not self.slow:
            connection.send_final_response(
                FinalResponse(
                    FinalStatus.SERVED, 0.0, UpstreamResponse(AttemptOutcome.OK, None, outbound.body)
                )
            )


async def connected(handler: Handler) -> tuple[ClientConnection, socket.socket, Counters]:
    """Return a connection, the client's socket and the counters."""
    near, far = socket.socketpair()
    near.setblocking(False)
    counters = Counters("t")
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: ClientConnection(handler, counters), sock=near
    )
    return connection, far, counters


async def read_to_the_end(far: socket.socket) -> list[bytes]:
    """Return the status codes of all responses."""
    far.setblocking(False)
    got = b""
    while data := await asyncio.get_running_loop().sock_recv(far, 65536):
        got += data
    far.close()
    return re.findall(rb"HTTP/1.1 (\d+)", got)


def test_internal_error_while_reading_leaves_earlier_requests_to_be_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def faulty(method: bytes, *args: Any) -> ReceivedRequest:
        if method == b"PUT":
            raise KeyError("a fault")
        return read_request(method, *args)

    monkeypatch.setattr("indigokeel.net.downstream.request_parser.read_request", faulty)

    async def play() -> tuple[list[bytes], Counters]:
        _, far, counters = await connected(Handler())
        far.sendall(PAY + LAST + PAY.replace(b"POST", b"PUT") + PAY)
        return await read_to_the_end(far), counters

    codes, counters = asyncio.run(asyncio.wait_for(play(), WAIT))
    assert codes == [b"200", b"200", b"500"] and counters["client_connection_faults"] == 1


def test_fault_in_one_connection_answers_what_was_read() -> None:
    raws = [request("pay", b"%d" % number) for number in range(5)]
    third = re.search(rb"Request-Id: (\w+)", raws[2])
    assert third is not None
    handler = Handler(faulty=lambda request: request.id == third[1].decode())

    async def play() -> tuple[list[bytes], Counters]:
        _, far, counters = await connected(handler)
        far.sendall(b"".join(raws) + HEALTH)
        return await read_to_the_end(far), counters

    codes, counters = asyncio.run(asyncio.wait_for(play(), WAIT))
    assert codes == [b"200"] * 2 + [b"500"] * 4
    assert (counters["client_connection_faults"], len(handler.request_ids)) == (1, 2)


@pytest.mark.parametrize("small", [HEALTH, b"GET / HTTP/1.1\r\n\r\n", request("pay", b"x")])
def test_what_is_read_ahead_is_bounded_however_much_comes_at_once(small: bytes) -> None:
    async def play() -> tuple[int, bool]:
        connection, far, _ = await connected(Handler(slow=True))
        far.setblocking(False)
        sent = far.send(PAY + small * (200_000 // len(small)))
        most = 0
        for _ in range(50):
            await asyncio.sleep(0)
            waiting = connection._input.pipeline
            most = max(most, len(waiting._requests))
        assert sent > 50_000 and connection.has_unread_input()
        paused = connection._input.flow.paused_at > 0.0
        far.close()
        await asyncio.sleep(0.01)
        return most, paused

    most, paused = asyncio.run(play())
    assert paused and MAX_QUEUED_REQUESTS <= most <= MAX_QUEUED_REQUESTS + 2048 // 18 + 1


def test_request_that_came_while_nothing_was_read_has_no_more_time_than_its_client() -> None:
    async def play() -> list[float]:
        handler, budgets = Handler(slow=True), []
        connection, far, _ = await connected(handler)
        far.sendall(b"".join(request("pay", b"x") for _ in range(1 + MAX_QUEUED_REQUESTS)))
        while not connection._input.flow.paused_at:
            await asyncio.sleep(0.001)
        far.sendall(request("pay", b"late"))
        await asyncio.sleep(0.2)
        for number in range(1, 3 + MAX_QUEUED_REQUESTS):
            while len(handler.request_ids) < number:
                await asyncio.sleep(0.001)
            budgets.append(handler.budget)
            connection.send_final_response(FinalResponse(FinalStatus.SERVED))
        far.close()
        return budgets

    budgets = asyncio.run(asyncio.wait_for(play(), WAIT))
    assert budgets[0] <= 5.0 and all(budget <= 4.8 for budget in budgets[1:])


@pytest.mark.parametrize(
    "sent", [b"", PAY, PAY[:-1], request("odd"), b"noise\r\n\r\n", request("pay", LONG)[:100_000]]
)
def test_closed_connection_is_freed_without_the_garbage_collector(sent: bytes) -> None:
    async def play() -> weakref.ref[ClientConnection]:
        connection, far, _ = await connected(Handler())
        found = weakref.ref(connection)
        far.sendall(sent)
        await asyncio.sleep(0.01)
        far.close()
        del connection
        await asyncio.sleep(0.01)
        return found

    gc.disable()
    try:
        assert asyncio.run(play())() is None
    finally:
        gc.enable()


def test_connection_that_never_comes_up_is_freed_without_the_garbage_collector() -> None:
    gc.disable()
    try:
        connection = ClientConnection(Handler(), Counters("t"))
        found = weakref.ref(connection)
        dispatcher = weakref.ref(connection._dispatcher)
        del connection
        assert found() is None and dispatcher() is None
    finally:
        gc.enable()
