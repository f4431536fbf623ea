"""Client scenarios: ordinary requests, bodies, connections, and requests that cannot be served."""

from __future__ import annotations

import time

from benchmarks.comparison.messages import Message, chunked, request, response
from benchmarks.comparison.program import HEALTH_CHECK
from benchmarks.comparison.scenario import Scenario, ScenarioContext
from benchmarks.comparison.upstreams import AfterReply, Reply, echo

MAX_BUFFERED_BODY_LENGTH = 64 * 1024  # longest body that the program buffers instead of streaming it
LONG_BODY_LENGTH = 300_000
TOO_LONG_BODY_LENGTH = 41 << 20
CHUNK_SIZE = 10_000
CHUNKED = "Transfer-Encoding: chunked\r\n"
KEYED = "Idempotency-Key: 5c0f6e1a\r\n"
SERVICE_TIME_S = 0.3


def make_body(length: int) -> bytes:
    """Return a body in which each aligned group of four bytes is unique."""
    return b"".join(number.to_bytes(4, "big") for number in range(length // 4 + 1))[:length]


def run_ordinary_requests(context: ScenarioContext) -> None:
    """Send requests of each class, on one connection and on a connection each."""
    context.start(context.start_upstream(echo))
    client = context.open_client("one connection")
    for number in range(10):
        client.send(request("view", f"a-{number}"))
        client.send(request("pay", f"b-{number}", b"amount=%d" % number))
        client.send(request("order", f"c-{number}", b"item=%d" % number, headers=KEYED))
        client.read(responses=3)
    client.finish()
    for request_class, headers in (("view", ""), ("pay", ""), ("order", KEYED)):
        context.record_exchange(
            f"{request_class} alone", request(request_class, f"{request_class}-alone", headers=headers)
        )


def run_request_headers(context: ScenarioContext) -> None:
    """Send requests with various headers and targets, and record which headers are forwarded."""
    context.start(context.start_upstream(echo))
    for number, headers in enumerate(
        (
            "Client-Retry: 1\r\n",
            "Request-Info: hint-s=0.2,mutates=1\r\n",
            "Request-Info: nothing\r\nWork-Hint: 0.1\r\n",
            "Work-Hint: none\r\n",
            KEYED,
            "X-Other: passes?\r\nCookie: a=b\r\nAccept: */*\r\n",
            "idempotency-key:   blanks-around \t\r\n",
            "Tenant: another\r\n",
            "Connection: keep-alive\r\n",
        )
    ):
        context.record_exchange(f"headers {number}", request("view", f"h-{number}", headers=headers))
    for number, target in enumerate(("/view", "/view/", "/view/a/b?c=d&e", "/view/%7Ea", "/view?q")):
        context.record_exchange(f"target {number}", request("view", f"t-{number}", target=target))
    context.record_exchange("two request ids", request("view", "first", headers="Request-Id: second\r\n"))


def run_request_bodies(context: ScenarioContext) -> None:
    """Send bodies with a Content-Length and in chunks, buffered and streamed ones."""
    context.start(context.start_upstream(echo))
    for length in (0, 1, 5_000, MAX_BUFFERED_BODY_LENGTH, MAX_BUFFERED_BODY_LENGTH + 1, LONG_BODY_LENGTH):
        body = make_body(length)
        context.record_exchange(f"{length} by length", request("pay", f"length-{length}", body))
        framed = chunked(body, CHUNK_SIZE)
        context.record_exchange(
            f"{length} in chunks", request("pay", f"chunks-{length}", framed, headers=CHUNKED)
        )
        keyed = request("order", f"keyed-{length}", body, headers=KEYED)
        context.record_exchange(f"{length} keyed", keyed)
    expecting = request("pay", "expecting", b"expected", headers="Expect: 100-continue\r\n")
    client = context.open_client("100-continue")
    client.send(expecting.removesuffix(b"expected"))
    client.read()
    client.send(b"expected")
    client.read()
    client.finish()


RESPONSES = {
    "/view/empty": Reply(response(200)),
    "/view/short": Reply(response(200, b"short")),
    "/view/report": Reply(response(200, b"x", "Server-Load: util=0.30,qps=100\r\nX-Other: a\r\n")),
    "/view/bad-report": Reply(response(200, b"x", "Server-Load: util=much,,=,qps\r\n")),
    "/view/closing": Reply(response(200, b"x", "Connection: close\r\n"), AfterReply.CLOSE),
    "/view/chunks": Reply(b"HTTP/1.1 200 OK\r\n" + CHUNKED.encode() + b"\r\n" + chunked(b"abcdef", 2)),
    "/view/whole": Reply(response(200, make_body(MAX_BUFFERED_BODY_LENGTH))),
    "/view/one-more": Reply(response(200, make_body(MAX_BUFFERED_BODY_LENGTH + 1))),
    "/view/long": Reply(response(200, make_body(LONG_BODY_LENGTH))),
    "/view/long-chunks": Reply(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunked(make_body(LONG_BODY_LENGTH), CHUNK_SIZE)
    ),
    "/view/to-the-end": Reply(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end", AfterReply.CLOSE),
    "/view/ahead": Reply(b"HTTP/1.1 100 Continue\r\n\r\n" + response(200, b"after a 100")),
    "/view/folded": Reply(b"HTTP/1.1 200 OK\r\nContent-Length:  2 \r\nX-Empty:\r\n\r\nok"),
}


def _respond(message: Message) -> Reply:
    return RESPONSES[message.target]


def run_response_bodies(context: ScenarioContext) -> None:
    """Have an upstream send responses with each kind of framing."""
    context.start(context.start_upstream(_respond))
    for target in RESPONSES:
        context.record_exchange(target, request("view", f"id{target.replace('/', '-')}", target=target))


def run_connections(context: ScenarioContext) -> None:
    """Send pipelined requests, requests in pieces, and requests that close their connection."""
    context.start(context.start_upstream(echo))
    pipelined = [request("view", f"p-{number}", target=f"/view/p{number}") for number in range(6)]
    context.record_exchange("pipelined", b"".join(pipelined), responses=6)
    mixed = request("view", "m-1") + HEALTH_CHECK + request("pay", "m-2", b"body") + b"GET / HTTP/1.1\r\n\r\n"
    context.record_exchange(
        "pipelined, with health checks and errors between", mixed + request("view", "m-3"), responses=5
    )
    whole = request("pay", "pieces", b"in pieces")
    context.record_exchange("in pieces", whole[:9], whole[9:60], whole[60:-4], whole[-4:])
    context.record_until_close("close", request("view", "c-1", headers="Connection: close\r\n"))
    context.record_until_close("1.0", request("view", "c-2", version="1.0"))
    keep_alive = "Connection: keep-alive\r\n"
    context.record_exchange("1.0 keep-alive", request("view", "c-3", version="1.0", headers=keep_alive))
    context.record_exchange("health", HEALTH_CHECK * 2, responses=2)
    context.record_until_close("health, close", b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
    context.record_exchange("empty lines before the request", b"\r\n\r\n" + request("view", "c-4"))


def run_pipelined_behind_an_error(context: ScenarioContext) -> None:
    """Pipeline a malformed request after valid ones and before a valid one."""
    context.start(context.start_upstream(echo))
    valid = request("view", "g-1") + request("pay", "g-2", b"body")
    context.record_until_close("malformed request after valid ones", valid + b"what is this\r\n\r\n")
    context.record_until_close(
        "valid request after a malformed one", b"what is this\r\n\r\n" + request("view", "g-3")
    )
    context.record_until_close(
        "valid requests after Connection: close",
        request("view", "g-4", headers="Connection: close\r\n") + valid,
    )


def _invalid_requests() -> dict[str, bytes]:
    """Return well-framed requests that cannot be served, by label."""
    plain = request("view", "r-1")
    return {
        "unknown class": request("view", "r-2").replace(b"Class: view", b"Class: other"),
        "no class": plain.replace(b"Request-Class: view\r\n", b""),
        "path of another class": request("view", "r-3", target="/pay/k1"),
        "no id": plain.replace(b"Request-Id: r-1\r\n", b""),
        "id too long": request("view", "r" * 201),
        "no timeout": plain.replace(b"Request-Timeout-Ms: 5000\r\n", b""),
        "timeout of 0": request("view", "r-4", timeout_ms=0),
        "timeout below 0": request("view", "r-5", timeout_ms=-5),
        "no key": request("order", "r-6", b"x"),
        "PUT": plain.replace(b"GET", b"PUT"),
        "DELETE": plain.replace(b"GET", b"DELETE"),
        "HEAD": plain.replace(b"GET", b"HEAD"),
        "root": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST to health": b"POST /_health HTTP/1.1\r\nContent-Length: 2\r\n\r\nab",
        "invalid request with a body": request("other", "r-7", b"abc"),
    }


def _malformed_requests() -> dict[str, bytes]:
    """Return malformed requests, after which the connection cannot be read any further, by label."""
    long_value = "y" * 20_000
    line = request("pay", "b-0", b"").removesuffix(b"Content-Length: 0\r\n\r\n")
    return {
        "not HTTP": b"what is this\r\n\r\n",
        "HTTP/3.0": b"GET /view/k1 HTTP/3.0\r\n\r\n",
        "two framings": line + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "two lengths": line + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "length not a number": line + b"Content-Length: x\r\n\r\n",
        "unknown transfer coding": line + b"Transfer-Encoding: gzip\r\n\r\n",
        "malformed chunk": line + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "head too large": request("view", "b-1", headers=f"X: {long_value}\r\n"),
        "too many headers": request("view", "b-2", headers="".join(f"X-{n}: a\r\n" for n in range(120))),
        "target too long": request("view", "b-3", target="/view/" + long_value),
        "body too large": line + b"Content-Length: %d\r\n\r\n" % TOO_LONG_BODY_LENGTH,
        "upgrade": request("view", "b-4", headers="Connection: Upgrade\r\nUpgrade: websocket\r\n"),
        "CONNECT": b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
        "NUL in the head": b"GET /view/\0 HTTP/1.1\r\n\r\n",
    }


def run_requests_that_cannot_be_served(context: ScenarioContext) -> None:
    """Send invalid and malformed requests, which the program itself answers with an error."""
    context.start(context.start_upstream(echo))
    for label, data in _invalid_requests().items():
        context.record_exchange(label, data)
    for label, data in _malformed_requests().items():
        context.record_until_close(label, data)
    behind = request("other", "e-1", b"abc") + request("view", "e-2")
    context.record_exchange("valid request after an invalid one", behind, responses=2)
    context.record_exchange("still served", request("view", "e-3"))


def run_request_too_large_in_chunks(context: ScenarioContext) -> None:
    """Send a chunked body too long to be buffered to a path that takes no body."""
    context.start(context.start_upstream(echo))
    body = chunked(make_body(MAX_BUFFERED_BODY_LENGTH + 1), CHUNK_SIZE)
    health = b"POST /_health HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.record_exchange("health with a long body", health + body)


def run_open_request_id(context: ScenarioContext) -> None:
    """Send a second request with the id of a request that is still open."""
    context.start(context.start_upstream(echo_slowly))
    first = context.open_client("first")
    first.send(request("pay", "same", b"first"))
    context.wait_received(1)
    context.record_exchange("second", request("pay", "same", b"second"))
    first.read()
    first.finish()
    context.record_exchange("after the first", request("pay", "same", b"third"))


def echo_slowly(message: Message) -> Reply:
    """Reply like ``echo``, after SERVICE_TIME_S."""
    time.sleep(SERVICE_TIME_S)
    return echo(message)


def run_silent_clients(context: ScenarioContext) -> None:
    """Leave requests incomplete and connections idle until the program closes them."""
    context.start(context.start_upstream(echo))
    half_head, half_body = context.open_client("half a head"), context.open_client("half a body")
    idle, silent = context.open_client("idle"), context.open_client("silent")
    half_head.send(request("view", "s-1")[:40])
    half_body.send(request("pay", "s-2", b"half of it")[:-5])
    idle.send(request("view", "s-3"))
    idle.read()
    for client in (half_head, half_body, idle, silent):
        client.read_to_end()


CLIENT_SCENARIOS = (
    Scenario("ordinary requests", run_ordinary_requests),
    Scenario("request headers", run_request_headers),
    Scenario("request bodies", run_request_bodies),
    Scenario("response bodies", run_response_bodies),
    Scenario("connections", run_connections),
    Scenario("pipelined behind an error", run_pipelined_behind_an_error),
    Scenario("requests that cannot be served", run_requests_that_cannot_be_served),
    Scenario("request too large in chunks", run_request_too_large_in_chunks),
    Scenario("open request id", run_open_request_id),
    Scenario("silent clients", run_silent_clients),
)
