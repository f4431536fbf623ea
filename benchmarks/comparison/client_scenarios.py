"""Scenarios of clients: ordinary requests, bodies, connections, and requests that cannot be served."""

from __future__ import annotations

import time

from benchmarks.comparison.messages import Message, chunked, request, response
from benchmarks.comparison.program import HEALTH_CHECK
from benchmarks.comparison.scenario import Scenario, ScenarioContext
from benchmarks.comparison.upstreams import After, Reply, echo

WHOLE_BODY_LENGTH = 64 * 1024  # bytes of the longest body that the program reads whole
LONG_BODY_LENGTH = 300_000
TOO_LONG_BODY_LENGTH = 41 << 20
CHUNK_SIZE = 10_000
CHUNKED = "Transfer-Encoding: chunked\r\n"
KEYED = "Idempotency-Key: 5c0f6e1a\r\n"
SERVICE_TIME_S = 0.3


def body_of(length: int) -> bytes:
    """Return a body in which no two stretches of four bytes are the same."""
    return b"".join(number.to_bytes(4, "big") for number in range(length // 4 + 1))[:length]


def run_ordinary_requests(context: ScenarioContext) -> None:
    """Send requests of each class one after another, on one connection and on several."""
    context.start(context.upstream(echo))
    client = context.client("one connection")
    for number in range(10):
        client.send(request("view", f"a-{number}"))
        client.send(request("pay", f"b-{number}", b"amount=%d" % number))
        client.send(request("order", f"c-{number}", b"item=%d" % number, headers=KEYED))
        client.read(responses=3)
    client.finish()
    for request_class, headers in (("view", ""), ("pay", ""), ("order", KEYED)):
        context.ask(
            f"{request_class} alone", request(request_class, f"{request_class}-alone", headers=headers)
        )


def run_request_headers(context: ScenarioContext) -> None:
    """Send the headers that a request may have, and see which go on."""
    context.start(context.upstream(echo))
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
        context.ask(f"headers {number}", request("view", f"h-{number}", headers=headers))
    for number, target in enumerate(("/view", "/view/", "/view/a/b?c=d&e", "/view/%7Ea", "/view?q")):
        context.ask(f"target {number}", request("view", f"t-{number}", target=target))
    context.ask("the first of two ids", request("view", "first", headers="Request-Id: second\r\n"))


def run_request_bodies(context: ScenarioContext) -> None:
    """Send bodies by length and in chunks, up to and beyond what is read whole."""
    context.start(context.upstream(echo))
    for length in (0, 1, 5_000, WHOLE_BODY_LENGTH, WHOLE_BODY_LENGTH + 1, LONG_BODY_LENGTH):
        body = body_of(length)
        context.ask(f"{length} by length", request("pay", f"length-{length}", body))
        framed = chunked(body, CHUNK_SIZE)
        context.ask(f"{length} in chunks", request("pay", f"chunks-{length}", framed, headers=CHUNKED))
        keyed = request("order", f"keyed-{length}", body, headers=KEYED)
        context.ask(f"{length} keyed", keyed)
    expecting = request("pay", "expecting", b"expected", headers="Expect: 100-continue\r\n")
    client = context.client("100-continue")
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
    "/view/closing": Reply(response(200, b"x", "Connection: close\r\n"), After.CLOSE),
    "/view/chunks": Reply(b"HTTP/1.1 200 OK\r\n" + CHUNKED.encode() + b"\r\n" + chunked(b"abcdef", 2)),
    "/view/whole": Reply(response(200, body_of(WHOLE_BODY_LENGTH))),
    "/view/one-more": Reply(response(200, body_of(WHOLE_BODY_LENGTH + 1))),
    "/view/long": Reply(response(200, body_of(LONG_BODY_LENGTH))),
    "/view/long-chunks": Reply(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + chunked(body_of(LONG_BODY_LENGTH), CHUNK_SIZE)
    ),
    "/view/to-the-end": Reply(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end", After.CLOSE),
    "/view/ahead": Reply(b"HTTP/1.1 100 Continue\r\n\r\n" + response(200, b"after a 100")),
    "/view/folded": Reply(b"HTTP/1.1 200 OK\r\nContent-Length:  2 \r\nX-Empty:\r\n\r\nok"),
}


def _respond(message: Message) -> Reply:
    return RESPONSES[message.target]


def run_response_bodies(context: ScenarioContext) -> None:
    """Have an upstream frame its responses in each way that it may."""
    context.start(context.upstream(_respond))
    for target in RESPONSES:
        context.ask(target, request("view", f"id{target.replace('/', '-')}", target=target))


def run_connections(context: ScenarioContext) -> None:
    """Send pipelined requests, requests in pieces, and requests that end their connection."""
    context.start(context.upstream(echo))
    pipelined = [request("view", f"p-{number}", target=f"/view/p{number}") for number in range(6)]
    context.ask("pipelined", b"".join(pipelined), responses=6)
    mixed = request("view", "m-1") + HEALTH_CHECK + request("pay", "m-2", b"body") + b"GET / HTTP/1.1\r\n\r\n"
    context.ask("pipelined, with others between", mixed + request("view", "m-3"), responses=5)
    whole = request("pay", "pieces", b"in pieces")
    context.ask("in pieces", whole[:9], whole[9:60], whole[60:-4], whole[-4:])
    context.ask_to_end("close", request("view", "c-1", headers="Connection: close\r\n"))
    context.ask_to_end("1.0", request("view", "c-2", version="1.0"))
    keep = "Connection: keep-alive\r\n"
    context.ask("1.0 keep-alive", request("view", "c-3", version="1.0", headers=keep))
    context.ask("health", HEALTH_CHECK * 2, responses=2)
    context.ask_to_end("health, close", b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
    context.ask("empty lines before", b"\r\n\r\n" + request("view", "c-4"))


def run_pipelined_behind_an_error(context: ScenarioContext) -> None:
    """Send broken framing behind requests that are good."""
    context.start(context.upstream(echo))
    good = request("view", "g-1") + request("pay", "g-2", b"body")
    context.ask_to_end("broken behind good ones", good + b"what is this\r\n\r\n")
    context.ask_to_end("good ones behind broken", b"what is this\r\n\r\n" + request("view", "g-3"))
    context.ask_to_end("close in the middle", request("view", "g-4", headers="Connection: close\r\n") + good)


def _refused_requests() -> dict[str, bytes]:
    """Return requests that are well framed and cannot be served, by label."""
    plain = request("view", "r-1")
    return {
        "class not known": request("view", "r-2").replace(b"Class: view", b"Class: other"),
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
        "body of a refused one": request("other", "r-7", b"abc"),
    }


def _broken_requests() -> dict[str, bytes]:
    """Return requests after which the connection cannot be read any further, by label."""
    long_value = "y" * 20_000
    line = request("pay", "b-0", b"").removesuffix(b"Content-Length: 0\r\n\r\n")
    return {
        "no HTTP": b"what is this\r\n\r\n",
        "HTTP/3.0": b"GET /view/k1 HTTP/3.0\r\n\r\n",
        "two framings": line + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "two lengths": line + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "length no number": line + b"Content-Length: x\r\n\r\n",
        "coding not known": line + b"Transfer-Encoding: gzip\r\n\r\n",
        "bad chunk": line + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n",
        "head too large": request("view", "b-1", headers=f"X: {long_value}\r\n"),
        "too many headers": request("view", "b-2", headers="".join(f"X-{n}: a\r\n" for n in range(120))),
        "target too long": request("view", "b-3", target="/view/" + long_value),
        "body too large": line + b"Content-Length: %d\r\n\r\n" % TOO_LONG_BODY_LENGTH,
        "upgrade": request("view", "b-4", headers="Connection: Upgrade\r\nUpgrade: websocket\r\n"),
        "CONNECT": b"CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n",
        "NUL in the head": b"GET /view/\0 HTTP/1.1\r\n\r\n",
    }


def run_requests_that_cannot_be_served(context: ScenarioContext) -> None:
    """Send requests that get an error of the program itself."""
    context.start(context.upstream(echo))
    for label, data in _refused_requests().items():
        context.ask(label, data)
    for label, data in _broken_requests().items():
        context.ask_to_end(label, data)
    behind = request("other", "e-1", b"abc") + request("view", "e-2")
    context.ask("good one behind a refused one", behind, responses=2)
    context.ask("still served", request("view", "e-3"))


def run_request_too_large_in_chunks(context: ScenarioContext) -> None:
    """Send a body to a path that takes none, in chunks, beyond what is read whole."""
    context.start(context.upstream(echo))
    body = chunked(body_of(WHOLE_BODY_LENGTH + 1), CHUNK_SIZE)
    health = b"POST /_health HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.ask("health with a long body", health + body)


def run_open_request_id(context: ScenarioContext) -> None:
    """Send a second request under the id of one that is open."""
    context.start(context.upstream(echo_slowly))
    first = context.client("first")
    first.send(request("pay", "same", b"first"))
    context.wait_received(1)
    context.ask("second", request("pay", "same", b"second"))
    first.read()
    first.finish()
    context.ask("after it", request("pay", "same", b"third"))


def echo_slowly(message: Message) -> Reply:
    """Reply as ``echo`` does, after a while."""
    time.sleep(SERVICE_TIME_S)
    return echo(message)


def run_silent_clients(context: ScenarioContext) -> None:
    """Leave a request half sent, and connections idle, until the program ends them."""
    context.start(context.upstream(echo))
    half_head, half_body = context.client("half a head"), context.client("half a body")
    idle, silent = context.client("idle"), context.client("silent")
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
