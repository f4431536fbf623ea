"""Scenarios of upstreams that fail, reject, truncate or never answer, and of clients that disconnect."""

from __future__ import annotations

from collections.abc import Callable

from benchmarks.comparison.client_scenarios import CHUNK_SIZE, KEYED, LONG_BODY_LENGTH, make_body
from benchmarks.comparison.discovery import Endpoint
from benchmarks.comparison.messages import Message, chunked, request, response
from benchmarks.comparison.program import free_port, wait_until
from benchmarks.comparison.scenario import UNRECORDED_PREFIX, Scenario, ScenarioContext, settings_with
from benchmarks.comparison.upstreams import AfterReply, Reply, Script, echo

SHORT_TIMEOUT_MS = 400
WARM_UP_REQUESTS = 60
CLASSES = (("view", None, ""), ("pay", b"amount", ""), ("order", b"item", KEYED))
SILENT_REPLY = Reply()


def request_each_class(context: ScenarioContext, label: str, timeout_ms: int = 5000) -> None:
    """Send one request of each class."""
    for request_class, body, headers in CLASSES:
        request_id = f"{label.replace(' ', '-')}-{request_class}"
        data = request(request_class, request_id, body, timeout_ms=timeout_ms, headers=headers)
        context.record_exchange(f"{label}: {request_class}", data)


def reply_to_first_attempt(reply: Reply) -> Script:
    """Return a script that gives this reply to the first attempt of each request, and echoes later ones."""
    seen: set[str] = set()

    def respond(message: Message) -> Reply:
        request_id = message.header("Request-Id")
        if request_id in seen:
            return echo(message)
        seen.add(request_id)
        return reply

    return respond


def reply_always(reply: Reply) -> Script:
    """Return a script that gives this reply to every attempt."""
    return lambda message: reply


def run_no_upstream(context: ScenarioContext) -> None:
    """Send requests while the endpoint list is empty."""
    context.start()
    request_each_class(context, "no upstream", SHORT_TIMEOUT_MS)


FAULTS = {
    "500": Reply(response(500, b"why")),
    "502": Reply(response(502)),
    "503 without a word": Reply(response(503)),
    "429": Reply(response(429)),
    "404": Reply(response(404)),
    "204": Reply(response(204)),
    "503 not started": Reply(response(503, headers="Not-Started: 1\r\n")),
    "504 not started": Reply(response(504, headers="Not-Started: 1\r\nRetry-After: 1\r\n")),
    "closed": Reply(b"", AfterReply.CLOSE),
    "reset": Reply(b"", AfterReply.RESET),
    "reset within the head": Reply(b"HTTP/1.1 200 OK\r\nContent-Le", AfterReply.RESET),
    "reset within the body": Reply(response(200, b"0123456789")[:-5], AfterReply.RESET),
    "closed within the body": Reply(response(200, b"0123456789")[:-5], AfterReply.CLOSE),
    "no HTTP": Reply(b"what is this\r\n\r\n", AfterReply.CLOSE),
    "no length": Reply(b"HTTP/1.1 200 OK\r\n\r\nabc", AfterReply.CLOSE),
    "two lengths": Reply(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab"),
    "length and chunks": Reply(
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(b"abc", 3)
    ),
    "101": Reply(b"HTTP/1.1 101 Switching Protocols\r\n\r\n"),
    "more than its body": Reply(response(200, b"abc") + b"stray bytes", AfterReply.CLOSE),
}


def _fault_once(name: str) -> Callable[[ScenarioContext], None]:
    def run(context: ScenarioContext) -> None:
        script = reply_to_first_attempt(FAULTS[name])
        context.start(*(context.start_upstream(script) for _ in range(3)))
        request_each_class(context, "first attempt fails")

    return run


def run_all_upstreams_failing(context: ScenarioContext) -> None:
    """Send requests while every upstream answers with a 500."""
    script = reply_always(FAULTS["500"])
    context.start(*(context.start_upstream(script) for _ in range(2)))
    request_each_class(context, "all fail")


def run_never_started(context: ScenarioContext) -> None:
    """Send a request while the only upstream answers that it has not started it."""
    context.start(context.start_upstream(reply_always(FAULTS["503 not started"])))
    pay = request("pay", "never", b"amount", timeout_ms=SHORT_TIMEOUT_MS)
    context.record_exchange("never started: pay", pay)


def run_refused_connections(context: ScenarioContext) -> None:
    """Send requests while nothing listens at the address of the only upstream."""
    address = f"127.0.0.1:{free_port('127.0.0.1')}"
    context.name_address(address, "{upstream}")
    context.start(Endpoint("s-0", address))
    request_each_class(context, "refused", SHORT_TIMEOUT_MS)


def run_deadline_over(context: ScenarioContext) -> None:
    """Send requests to an upstream that never answers, until their deadlines."""
    context.start(context.start_upstream(reply_always(SILENT_REPLY)))
    request_each_class(context, "silent", SHORT_TIMEOUT_MS)


def _long_responses() -> dict[str, Reply]:
    """Return truncated long responses, by target."""
    body = make_body(LONG_BODY_LENGTH)
    by_length = response(200, body)[: -LONG_BODY_LENGTH // 2]
    in_chunks = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, CHUNK_SIZE)
    return {
        "/view/length": Reply(by_length, AfterReply.CLOSE),
        "/view/chunks": Reply(in_chunks[: -LONG_BODY_LENGTH // 2], AfterReply.CLOSE),
    }


def run_truncated_long_responses(context: ScenarioContext) -> None:
    """Have an upstream truncate long responses: the client has to be able to tell."""
    replies = _long_responses()
    context.start(context.start_upstream(lambda message: replies[message.target]))
    for target in replies:
        client = context.open_client(target)
        client.send(request("view", f"long{target.replace('/', '-')}", target=target))
        client.read_truncated_response()


def run_client_leaves(context: ScenarioContext) -> None:
    """Close a client's connection while its request is open: the attempt is cancelled."""
    context.start(context.start_upstream(reply_always(SILENT_REPLY)))
    for request_class, body, headers in CLASSES:
        data = request(request_class, f"leaves-{request_class}", body, headers=headers)
        _disconnect_during_request(context, request_class, data)
    context.transcript.add_note("upstream", f"{len(context.received.messages)} attempts were cancelled")


def _disconnect_during_request(context: ScenarioContext, label: str, data: bytes) -> None:
    received = context.received
    received_before, closed_before = len(received.messages), received.closed_connections
    client = context.open_client(label)
    client.send(data)
    context.wait_received(received_before + 1)
    client.close()
    wait_until(lambda: received.closed_connections > closed_before, "the end of the attempt's connection")


def run_hedged_requests(context: ScenarioContext) -> None:
    """Leave the first attempt of a request unanswered, with hedged requests allowed."""
    settings = settings_with(limits={"second-copies": True, "cancelling": True})
    silent_once = reply_to_first_attempt(SILENT_REPLY)

    def respond(message: Message) -> Reply:
        return silent_once(message) if message.header("Request-Id").startswith("copy") else echo(message)

    program = context.start(*(context.start_upstream(respond) for _ in range(2)), settings=settings)
    for number in range(WARM_UP_REQUESTS):  # the learned latencies determine when to hedge
        program.exchange(request("view", f"{UNRECORDED_PREFIX}{number}"))
    context.record_exchange("hedging: view", request("view", "copy-view"))
    context.record_exchange(
        "hedging: pay", request("pay", "copy-pay", b"amount", timeout_ms=SHORT_TIMEOUT_MS)
    )


def run_health_checks(context: ScenarioContext) -> None:
    """Get load reports by health checks alone."""
    settings = settings_with(
        telemetry={"how": "probe", "columns": ["rif", "busy", "lat_ms", "rate"]}, limits={"probes": True}
    )
    health_checks: list[Message] = []

    def respond(message: Message) -> Reply:
        if message.target.startswith("/_load"):
            health_checks.append(message)
            return Reply(response(200, b"inflight=0,util=0.1,latency_ms=80,qps=20"))
        return echo(message)

    context.unrecorded_target = "/_load"
    context.start(context.start_upstream(respond), settings=settings)
    request_each_class(context, "probed")
    wait_until(lambda: bool(health_checks), "a health check")
    context.transcript.add_message("first health check", health_checks[0])


UPSTREAM_SCENARIOS = (
    Scenario("no upstream", run_no_upstream),
    *(Scenario(f"first attempt: {name}", _fault_once(name)) for name in FAULTS),
    Scenario("all upstreams failing", run_all_upstreams_failing),
    Scenario("never started", run_never_started),
    Scenario("refused connections", run_refused_connections),
    Scenario("deadline over", run_deadline_over),
    Scenario("long response breaks off", run_truncated_long_responses),
    Scenario("client leaves", run_client_leaves),
    Scenario("second copies", run_hedged_requests),
    Scenario("probes", run_health_checks),
)
