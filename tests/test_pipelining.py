"""Requests that are pipelined on one client connection: each that was read gets one response, in order. Only
broken framing ends the connection, after the responses to the requests before it."""

from __future__ import annotations

import asyncio
import gc
import json
import re
import signal
import socket
import time
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
from indigokeel.net.streams import RequestStream
from indigokeel.requests.effects import FinalStatus, Request
from tests.peers import (
    TIMEOUT_S,
    Peer,
    echo,
    entry,
    make_endpoint_list,
    read_response,
    request,
    running,
    until,
)
from tests.support.clients import make_client_resources
from tests.test_endings import HEALTH_REQUEST, HeldUpstream
from tests.test_net import OverloadedHandler

LONG_BODY = b"z" * 150_000
PAY, LAST = request("pay", b"one"), request("pay", b"last")
INVALID_CHUNKED_HEAD = request("odd", more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")


def without_header(name: bytes, raw: bytes) -> bytes:
    """Return a request without one of its headers."""
    return re.sub(name + rb": [^\r]*\r\n", b"", raw)


def read_status_codes(conn: socket.socket) -> list[int]:
    """Read all responses up to the end of the stream; return their status codes."""
    file, codes = conn.makefile("rb"), []
    while file.peek(1):
        codes.append(read_response(file)[0])
    return codes


@pytest.mark.parametrize(
    ("between", "codes"),
    [
        (request("pay", b"x") * 0, []),
        (b"".join(request("pay", b"x") for _ in range(10)), [200] * 10),
        (b"".join(request("pay", b"x") for _ in range(200)), [200] * 200),
        (HEALTH_REQUEST * 5000, [200] * 5000),
        (b"GET / HTTP/1.1\r\n\r\n" * 1000, [400] * 1000),
        (request("odd", b"x") * 3, [400] * 3),
        (without_header(b"Request-Id", PAY), [400]),
        (without_header(b"Request-Timeout-Ms", PAY), [400]),
        (request("pay", b"x", wait_ms=-5), [400]),
        (request("order", b"x"), [400]),  # without an Idempotency-Key
        (PAY.replace(b"POST", b"PUT"), [405]),
        (PAY.replace(b"/pay", b"/view"), [404]),
        (request("odd", LONG_BODY), [400]),
        (INVALID_CHUNKED_HEAD + b"9000\r\n" + b"x" * 0x9000 + b"\r\n0\r\n\r\n", [400]),
        (HEALTH_REQUEST.replace(b"\r\n\r\n", b"\r\nContent-Length: 150000\r\n\r\n") + LONG_BODY, [413]),
        (request("odd") + request("pay", LONG_BODY) + request("odd"), [400, 200, 400]),
    ],
)
def test_each_request_that_was_read_gets_its_response_in_order(
    tmp_path: Path, between: bytes, codes: list[int]
) -> None:
    with running(tmp_path, echo) as (program, (upstream,), _), program.connect() as conn:
        conn.settimeout(TIMEOUT_S)
        conn.sendall(PAY + between + request("pay", b"last", more="Connection: close\r\n"))
        assert read_status_codes(conn) == [200, *codes, 200]
        assert (upstream.received[0].body, upstream.received[-1].body) == (b"one", b"last")
        assert len(upstream.received) == 2 + codes.count(200) * (between[:9] != HEALTH_REQUEST[:9])


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
def test_broken_framing_ends_the_connection_after_the_earlier_responses(
    tmp_path: Path, broken: bytes
) -> None:
    with running(tmp_path, echo) as (program, (upstream,), _), program.connect() as conn:
        conn.settimeout(TIMEOUT_S)
        conn.sendall(PAY * 1 + request("odd", b"x") + LAST + broken + request("pay", b"never"))
        codes = read_status_codes(conn)
        assert codes[:3] == [200, 400, 200] and len(codes) == 4 and codes[3] in (400, 413, 431)
        assert [message.body for message in upstream.received] == [b"one", b"last"]


def test_request_gets_one_error_response_even_if_its_body_is_cut_off_later(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d), program.connect() as conn:
        conn.sendall(INVALID_CHUNKED_HEAD)
        file = conn.makefile("rb")
        assert read_response(file)[0] == 400  # before its body has arrived
        conn.sendall(b"zz\r\n" + PAY)
        assert file.read() == b""


def test_streamed_body_that_is_cut_off_after_its_response_gets_no_second_one(tmp_path: Path) -> None:
    with running(tmp_path) as (program, _, _d), program.connect() as conn:
        head = request("pay", wait_ms=500, more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST")
        conn.sendall(head + b"20000\r\n" + b"x" * 0x20000 + b"\r\n")
        file = conn.makefile("rb")
        assert read_response(file)[0] == 503  # there is no upstream
        conn.sendall(b"zz\r\n")
        assert file.read() == b""


def test_error_response_to_a_head_request_has_no_body(tmp_path: Path) -> None:
    with running(tmp_path, echo) as (program, _, _d), program.connect() as conn:
        conn.sendall(request("view").replace(b"GET", b"HEAD") + PAY)
        file = conn.makefile("rb")
        code, answer = read_response(file)
        assert (code, answer.headers["content-length"]) == (405, "0")
        assert read_response(file)[1].body == b"one"


def test_duplicate_request_id_is_rejected_in_order(tmp_path: Path) -> None:
    held, quick = HeldUpstream(), Peer(echo)
    # The request id of PAY, with a long body.
    same = PAY.replace(b"one", LONG_BODY).replace(b"Length: 3", b"Length: %d" % len(LONG_BODY))
    with (
        running(tmp_path, held) as (program, _, discovery),
        program.connect() as other,
        program.connect() as conn,
    ):
        other.sendall(PAY)
        until(lambda: len(held.received) == 1)
        discovery.push(json.dumps(make_endpoint_list(entry("s-1", quick.port), index=2)).encode())
        until(lambda: program.counters().get("endpoint_lists") == 1)
        conn.sendall(request("pay", b"2") + PAY + request("pay", b"3") + same + request("pay", b"4"))
        file = conn.makefile("rb")
        assert [read_response(file)[0] for _ in range(5)] == [200, 409, 200, 409, 200]
        held.release.set()
        assert read_response(other.makefile("rb"))[1].body == b"one"
    quick.close()


def test_long_body_that_is_complete_before_its_turn_does_not_block_reading(tmp_path: Path) -> None:
    """Reading resumes, because the body need not be streamed any more."""
    chunks = b"".join(b"%x\r\n%s\r\n" % (9000, b"x" * 9000) for _ in range(9)) + b"0\r\n\r\n"
    long = request("pay", more="Transfer-Encoding: chunked\r\n").replace(b"GET", b"POST") + chunks
    with running(tmp_path, HeldUpstream()) as (program, (upstream,), _), program.connect() as conn:
        conn.sendall(PAY + long)
        until(lambda: len(upstream.received) == 1)
        program.counters()
        upstream.release.set()  # type: ignore[attr-defined]
        file = conn.makefile("rb")
        assert read_response(file)[0] == read_response(file)[0] == 200
        conn.sendall(LAST)
        assert read_response(file)[1].body == b"last"


def test_continue_is_sent_in_order_behind_another_request(tmp_path: Path) -> None:
    with running(tmp_path, HeldUpstream()) as (program, (upstream,), _), program.connect() as conn:
        conn.sendall(PAY + request("pay", b"late", more="Expect: 100-continue\r\n")[:-4])
        until(lambda: len(upstream.received) == 1)
        program.counters()
        upstream.release.set()  # type: ignore[attr-defined]
        file = conn.makefile("rb")
        assert read_response(file)[1].body == b"one" and file.readline().startswith(b"HTTP/1.1 100")
        assert file.readline() == b"\r\n"
        conn.sendall(b"late")
        assert read_response(file)[1].body == b"late"


def test_requests_that_ran_out_of_time_behind_another_are_rejected_and_never_sent(tmp_path: Path) -> None:
    """Their budgets have been running since they arrived. If they were forwarded, their late responses would
    count against the upstreams."""
    with (
        running(tmp_path, HeldUpstream(), HeldUpstream()) as (program, upstreams, _),
        program.connect() as conn,
    ):
        ahead = b"".join(request("pay", b"x", wait_ms=300) for _ in range(20))
        conn.sendall(request("pay", b"first", wait_ms=1000) + ahead + LAST)
        file = conn.makefile("rb")
        codes = [read_response(file)[0] for _ in range(21)]
        assert codes == [500] + [503] * 20
        until(lambda: sum(len(upstream.received) for upstream in upstreams) == 2)
        for upstream in upstreams:
            upstream.release.set()  # type: ignore[attr-defined]
        assert read_response(file)[1].body == b"last"
        counters = program.counters()
        assert (counters["requests_out_of_time"], counters["attempts_sent"]) == (20, 2)
        assert "shedding load" not in program.log.read_text()


def test_requests_read_before_shutdown_get_their_responses(tmp_path: Path) -> None:
    with running(tmp_path, HeldUpstream()) as (program, (upstream,), _), program.connect() as conn:
        conn.settimeout(TIMEOUT_S)
        conn.sendall(
            b"".join(request("pay", b"x", wait_ms=60_000) for _ in range(60))
            + HEALTH_REQUEST
            + request("odd")
        )
        until(lambda: len(upstream.received) == 1)
        program.process.send_signal(signal.SIGTERM)
        codes = read_status_codes(conn)
        assert len(codes) == 62 and set(codes[:60]) <= {500, 503} and codes[60:] == [503, 400]
        assert program.process.wait(TIMEOUT_S) == 0 and program.last_counters()["requests_unanswered"] == 0


# --- a client connection in the test's process -------------------------------------------------------------


class Handler(OverloadedHandler):
    """A sidecar that responds with the request's body; if it is ``slow``, the test responds instead."""

    overloaded = False

    def __init__(self, slow: bool = False, faulty: Callable[[Request], bool] = lambda request: False) -> None:
        self.slow = slow
        self.faulty = faulty
        self.request_ids: list[str] = []
        self.budget = 0.0  # of the latest request

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


async def open_connection(handler: Handler) -> tuple[ClientConnection, socket.socket, Counters]:
    """Open a connection; return it, the client's socket and the counters."""
    server_socket, client_socket = socket.socketpair()
    server_socket.setblocking(False)
    counters = Counters("t")
    _, connection = await asyncio.get_running_loop().create_connection(
        lambda: ClientConnection(handler, counters, make_client_resources()), sock=server_socket
    )
    return connection, client_socket, counters


async def read_status_codes_to_end(client_socket: socket.socket) -> list[bytes]:
    """Read all responses up to the end of the stream; return their status codes."""
    client_socket.setblocking(False)
    got = b""
    while data := await asyncio.get_running_loop().sock_recv(client_socket, 65536):
        got += data
    client_socket.close()
    return re.findall(rb"HTTP/1.1 (\d+)", got)


def test_internal_error_while_reading_leaves_earlier_requests_to_be_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def read_request_or_raise(method: bytes, *args: Any) -> ReceivedRequest:
        if method == b"PUT":
            raise KeyError("a fault")
        return read_request(method, *args)

    monkeypatch.setattr("indigokeel.net.downstream.request_parser.read_request", read_request_or_raise)

    async def run_scenario() -> tuple[list[bytes], Counters]:
        _, client_socket, counters = await open_connection(Handler())
        client_socket.sendall(PAY + LAST + PAY.replace(b"POST", b"PUT") + PAY)
        return await read_status_codes_to_end(client_socket), counters

    codes, counters = asyncio.run(asyncio.wait_for(run_scenario(), TIMEOUT_S))
    assert codes == [b"200", b"200", b"500"] and counters["client_connection_faults"] == 1


def test_internal_error_in_serving_gives_an_error_response_to_each_remaining_request() -> None:
    raw_requests = [request("pay", b"%d" % number) for number in range(5)]
    third_request_id = re.search(rb"Request-Id: (\w+)", raw_requests[2])
    assert third_request_id is not None
    handler = Handler(faulty=lambda request: request.id == third_request_id[1].decode())

    async def run_scenario() -> tuple[list[bytes], Counters]:
        _, client_socket, counters = await open_connection(handler)
        client_socket.sendall(b"".join(raw_requests) + HEALTH_REQUEST)
        return await read_status_codes_to_end(client_socket), counters

    codes, counters = asyncio.run(asyncio.wait_for(run_scenario(), TIMEOUT_S))
    assert codes == [b"200"] * 2 + [b"500"] * 4
    assert (counters["client_connection_faults"], len(handler.request_ids)) == (1, 2)


@pytest.mark.parametrize("raw_request", [HEALTH_REQUEST, b"GET / HTTP/1.1\r\n\r\n", request("pay", b"x")])
def test_read_ahead_is_limited_however_much_arrives_at_once(raw_request: bytes) -> None:
    async def run_scenario() -> tuple[int, bool]:
        connection, client_socket, _ = await open_connection(Handler(slow=True))
        client_socket.setblocking(False)
        sent = client_socket.send(PAY + raw_request * (200_000 // len(raw_request)))
        max_queued = 0
        for _ in range(50):
            await asyncio.sleep(0)
            pipeline = connection._input.pipeline
            max_queued = max(max_queued, len(pipeline._requests))
        assert sent > 50_000 and connection.has_unread_input()
        paused = connection._input.flow.paused_at > 0.0
        client_socket.close()
        await asyncio.sleep(0.01)
        return max_queued, paused

    max_queued, paused = asyncio.run(run_scenario())
    assert paused and MAX_QUEUED_REQUESTS <= max_queued <= MAX_QUEUED_REQUESTS + 2048 // 18 + 1


def test_budget_of_a_request_includes_its_wait_while_reading_was_paused() -> None:
    async def run_scenario() -> list[float]:
        handler, budgets = Handler(slow=True), []
        connection, client_socket, _ = await open_connection(handler)
        client_socket.sendall(b"".join(request("pay", b"x") for _ in range(1 + MAX_QUEUED_REQUESTS)))
        while not connection._input.flow.paused_at:
            await asyncio.sleep(0.001)
        client_socket.sendall(request("pay", b"late"))
        await asyncio.sleep(0.2)
        for number in range(1, 3 + MAX_QUEUED_REQUESTS):
            while len(handler.request_ids) < number:
                await asyncio.sleep(0.001)
            budgets.append(handler.budget)
            connection.send_final_response(FinalResponse(FinalStatus.SERVED))
        client_socket.close()
        return budgets

    budgets = asyncio.run(asyncio.wait_for(run_scenario(), TIMEOUT_S))
    assert budgets[0] <= 5.0 and all(budget <= 4.8 for budget in budgets[1:])


class StreamHandler(Handler):
    """Takes the streamed body of a request, and records when the client may have sent its last byte."""

    def __init__(self) -> None:
        super().__init__(slow=True)
        self.stream: RequestStream | None = None
        self.sent_at: list[float | None] = []

    def handle_request(
        self, connection: ClientConnection, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        super().handle_request(connection, arrived, request, outbound)
        self.stream = outbound.request_stream

    def request_body_sent(self, request_id: str, sent_at: float | None) -> None:
        self.sent_at.append(sent_at)


class AllTakingSink:
    """An upstream connection that takes everything."""

    def is_writable(self) -> bool:
        return True

    def write(self, chunks: list[bytes]) -> None: ...


def test_end_of_a_streamed_body_may_be_unread_since_the_pause_until_all_input_was_read() -> None:
    """Guards against a time limit that starts only when the sidecar reads the last byte of a body."""

    async def run_scenario() -> tuple[list[float | None], float, float]:
        handler = StreamHandler()
        _, client_socket, _ = await open_connection(handler)
        loop = asyncio.get_running_loop()
        client_socket.setblocking(False)
        raw = request("pay", b"z" * 3_000_000)
        began = time.monotonic()
        sending = asyncio.create_task(loop.sock_sendall(client_socket, raw[:2_000_000]))
        while not handler.sent_at:  # nobody takes the body, so that reading pauses
            await asyncio.sleep(0.001)
        assert handler.stream is not None
        handler.stream.attach(AllTakingSink())
        await sending
        while handler.sent_at[-1] is not None:
            await asyncio.sleep(0.001)
        reported = list(handler.sent_at)
        resumed = time.monotonic()
        await loop.sock_sendall(client_socket, raw[2_000_000:])
        while (arrived_at := handler.sent_at[-1]) is None:
            await asyncio.sleep(0.001)
        client_socket.close()
        assert reported[0] is not None and began < reported[0] < resumed
        return reported, resumed, arrived_at

    reported, resumed, arrived_at = asyncio.run(asyncio.wait_for(run_scenario(), TIMEOUT_S))
    assert reported[1:] == [None] and arrived_at >= resumed


@pytest.mark.parametrize(
    "sent", [b"", PAY, PAY[:-1], request("odd"), b"noise\r\n\r\n", request("pay", LONG_BODY)[:100_000]]
)
def test_closed_connection_is_freed_without_the_garbage_collector(sent: bytes) -> None:
    async def run_scenario() -> weakref.ref[ClientConnection]:
        connection, client_socket, _ = await open_connection(Handler())
        connection_ref = weakref.ref(connection)
        client_socket.sendall(sent)
        await asyncio.sleep(0.01)
        client_socket.close()
        del connection
        await asyncio.sleep(0.01)
        return connection_ref

    gc.disable()
    try:
        assert asyncio.run(run_scenario())() is None
    finally:
        gc.enable()


def test_connection_that_is_never_made_is_freed_without_the_garbage_collector() -> None:
    gc.disable()
    try:
        connection = ClientConnection(Handler(), Counters("t"), make_client_resources())
        connection_ref = weakref.ref(connection)
        dispatcher_ref = weakref.ref(connection._dispatcher)
        del connection
        assert connection_ref() is None and dispatcher_ref() is None
    finally:
        gc.enable()
