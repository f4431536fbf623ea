"""Scenarios of upstreams that fail, refuse, break off or say nothing, and of clients that leave them."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.comparison.client_scenarios import CHUNK_SIZE, KEYED, LONG_BODY_LENGTH, body_of
from benchmarks.comparison.discovery import Endpoint
from benchmarks.comparison.messages import Message, chunked, request, response
from benchmarks.comparison.program import free_port, wait_until
from benchmarks.comparison.scenario import UNRECORDED_PREFIX, Scenario, ScenarioContext, settings_with
from benchmarks.comparison.upstreams import After, Reply, Script, echo

SHORT_TIMEOUT_MS = 400
WARM_UP_REQUESTS = 60
CLASSES = (("view", None, ""), ("pay", b"amount", ""), ("order", b"item", KEYED))
NO_REPLY = Reply()


def ask_each_class(context: ScenarioContext, label: str, timeout_ms: int = 5000) -> None:
    """Send one request of each class."""
    for request_class, body, headers in CLASSES:
        request_id = f"{label.replace(' ', '-')}-{request_class}"
        data = request(request_class, request_id, body, timeout_ms=timeout_ms, headers=headers)
        context.ask(f"{label}: {request_class}", data)


def first_attempt(reply: Reply) -> Script:
    """Return a script that gives a reply to the first attempt of each request, and echoes the others."""
    seen: set[str] = set()

    def respond(message: Message) -> Reply:
        request_id = message.header("Request-Id")
        if request_id in seen:
            return echo(message)
        seen.add(request_id)
        return reply

    return respond


def always(reply: Reply) -> Script:
    """Return a script that gives the same reply to all."""
    return lambda message: reply


def run_no_upstream(context: ScenarioContext) -> None:
    """Send requests while the endpoint list is empty."""
    context.start()
    ask_each_class(context, "no upstream", SHORT_TIMEOUT_MS)


FAULTS = {
    "500": Reply(response(500, b"why")),
    "502": Reply(response(502)),
    "503 without a word": Reply(response(503)),
    "429": Reply(response(429)),
    "404": Reply(response(404)),
    "204": Reply(response(204)),
    "503 not started": Reply(response(503, headers="Not-Started: 1\r\n")),
    "504 not started": Reply(response(504, headers="Not-Started: 1\r\nRetry-After: 1\r\n")),
    "closed": Reply(b"", After.CLOSE),
    "reset": Reply(b"", After.RESET),
    "reset within the head": Reply(b"HTTP/1.1 200 OK\r\nContent-Le", After.RESET),
    "reset within the body": Reply(response(200, b"0123456789")[:-5], After.RESET),
    "closed within the body": Reply(response(200, b"0123456789")[:-5], After.CLOSE),
    "no HTTP": Reply(b"what is this\r\n\r\n", After.CLOSE),
    "no length": Reply(b"HTTP/1.1 200 OK\r\n\r\nabc", After.CLOSE),
    "two lengths": Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    "length and chunks": Reply(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(b"abc", 3)
    ),
    "101": Reply(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"),
    "more than its body": Reply(response(200, b"abc") + b"stray bytes", After.CLOSE),
}


def _fault_once(name: str) -> Callable[[ScenarioContext], None]:
    def run(context: ScenarioContext) -> None:
        script = first_attempt(FAULTS[name])
        context.start(*(context.upstream(script) for _ in range(3)))
        ask_each_class(context, "first attempt fails")

    return run


def run_all_upstreams_failing(context: ScenarioContext) -> None:
    """Send requests while every upstream answers with an error."""
    script = always(FAULTS["500"])
    context.start(*(context.upstream(script) for _ in range(2)))
    ask_each_class(context, "all fail")


def run_never_started(context: ScenarioContext) -> None:
    """Send requests while the only upstream says of all that it never began."""
    context.start(context.upstream(always(FAULTS["503 not started"])))
    pay = request("pay", "never", b"amount", timeout_ms=SHORT_TIMEOUT_MS)
    context.ask("never started: pay", pay)


def run_refused_connections(context: ScenarioContext) -> None:
    """Send requests while nobody listens at the only upstream's address."""
    address = f"127.0.0.1:{free_port('127.0.0.1')}"
    context.name_address(address, "{upstream}")
    context.start(Endpoint("s-0", address))
    ask_each_class(context, "refused", SHORT_TIMEOUT_MS)


def run_deadline_over(context: ScenarioContext) -> None:
    """Send requests to an upstream that says nothing, until their time is over."""
    context.start(context.upstream(always(NO_REPLY)))
    ask_each_class(context, "silent", SHORT_TIMEOUT_MS)


def _long_responses() -> dict[str, Reply]:
    """Return long responses that break off, by target."""
    body = body_of(LONG_BODY_LENGTH)
    by_length = response(200, body)[: -LONG_BODY_LENGTH // 2]
    in_chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, CHUNK_SIZE)
    return {
        "/view/length": Reply(by_length, After.CLOSE),
        "/view/chunks": Reply(in_chunks[: -LONG_BODY_LENGTH // 2], After.CLOSE),
    }


def run_long_response_breaks_off(context: ScenarioContext) -> None:
    """Have an upstream close within long responses: the client has to see that they are not whole."""
    replies = _long_responses()
    context.start(context.upstream(lambda message: replies[message.target]))
    for target in replies:
        client = context.client(target)
        client.send(request("view", f"long{target.replace('/', '-')}", target=target))
        client.read_broken_response()


def run_client_leaves(context: ScenarioContext) -> None:
    """Close a client's connection while its request is open: its attempt is given up."""
    context.start(context.upstream(always(NO_REPLY)))
    for request_class, body, headers in CLASSES:
        data = request(request_class, f"leaves-{request_class}", body, headers=headers)
        _leave_request(context, request_class, data)
    context.transcript.add_note("upstream", f"{len(context.received.messages)} attempts were given up")


def _leave_request(context: ScenarioContext, label: str, data: bytes) -> None:
    received = context.received
    received_before, closed_before = len(received.messages), received.closed_connections
    client = context.client(label)
    client.send(data)
    context.wait_received(received_before + 1)
    client.close()
    wait_until(lambda: received.closed_connections > closed_before, "the end of the attempt")


def run_second_copies(context: ScenarioContext) -> None:
    """Have the first copy of a request stay without an answer, where second copies are allowed."""
    settings = settings_with(limits={"second-copies": True, "cancelling": True})
    silent_once = first_attempt(NO_REPLY)

    def respond(message: Message) -> Reply:
        return silent_once(message) if message.header("Request-Id").startswith("copy") else echo(message)

    program = context.start(*(context.upstream(respond) for _ in range(2)), settings=settings)
    for number in range(WARM_UP_REQUESTS):  # a second copy goes out by latencies that are known
        program.exchange(request("view", f"{UNRECORDED_PREFIX}{number}"))
    context.ask("second copy: view", request("view", "copy-view"))
    context.ask("second copy: pay", request("pay", "copy-pay", b"amount", timeout_ms=SHORT_TIMEOUT_MS))


def run_probes(context: ScenarioContext) -> None:
    """Have reports come by probe alone."""
    settings = settings_with(
        telemetry={"how": "probe", "columns": ["rif", "busy", "lat_ms", "rate"]}, limits={"probes": True}
    )
    probes: list[Message] = []

    def respond(message: Message) -> Reply:
        if message.target.startswith("/_load"):
            probes.append(message)
            return Reply(response(200, b"inflight=0,util=0.1,latency_ms=80,qps=20"))
        return echo(message)

    context.unrecorded_target = "/_load"
    context.start(context.upstream(respond), settings=settings)
    ask_each_class(context, "probed")
    wait_until(lambda: bool(probes), "a probe")
    context.transcript.add_message("first probe", probes[0])


UPSTREAM_SCENARIOS = (
    Scenario("no upstream", run_no_upstream),
    *(Scenario(f"first attempt: {name}", _fault_once(name)) for name in FAULTS),
    Scenario("all upstreams failing", run_all_upstreams_failing),
    Scenario("never started", run_never_started),
    Scenario("refused connections", run_refused_connections),
    Scenario("deadline over", run_deadline_over),
    Scenario("long response breaks off", run_long_response_breaks_off),
    Scenario("client leaves", run_client_leaves),
    Scenario("second copies", run_second_copies),
    Scenario("probes", run_probes),
)
