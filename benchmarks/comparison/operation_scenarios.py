"""Scenarios of admin requests, discovery, configuration reloads and signals."""

from __future__ import annotations

import json
import signal
import time

from benchmarks.comparison.client_scenarios import LONG_BODY_LENGTH, echo_slowly
from benchmarks.comparison.discovery import Discovery, Endpoint, EndpointList
from benchmarks.comparison.messages import chunked, request, response
from benchmarks.comparison.program import CLIENT_HOST, Options, wait_until
from benchmarks.comparison.scenario import UNRECORDED_PREFIX, Scenario, ScenarioContext, settings_with
from benchmarks.comparison.upstream_scenarios import SHORT_TIMEOUT_MS, request_each_class
from benchmarks.comparison.upstreams import echo

SETTLE_TIME_S = 0.4  # for changes that have no observable effect to wait for
TOO_LONG_ADMIN_BODY_LENGTH = 20_000


def _admin_request(method: str, call: str, body: bytes = b"", headers: str = "") -> bytes:
    head = f"{method} {call} HTTP/1.1\r\nHost: a\r\n{headers}"
    if "Transfer-Encoding" not in headers and body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _admin_requests() -> dict[str, bytes]:
    """Return admin requests by label, in an order in which the response to each is determined."""
    upstream, unknown = b'{"who":"s-0"}', b'{"who":"unknown"}'
    framed = chunked(upstream, 8)
    return {
        "health": _admin_request("GET", "/admin/health"),
        "health with a query": _admin_request("GET", "/admin/health?verbose"),
        "health by HEAD": _admin_request("HEAD", "/admin/health"),
        "health by PUT": _admin_request("PUT", "/admin/health"),
        "uncordon without a cordon": _admin_request("PUT", "/admin/uncordon", upstream),
        "cordon": _admin_request("PUT", "/admin/cordon", upstream),
        "cordon again": _admin_request("PUT", "/admin/cordon", upstream),
        "health with the only upstream cordoned": _admin_request("GET", "/admin/health"),
        "uncordon in chunks": _admin_request(
            "PUT", "/admin/uncordon", framed, "Transfer-Encoding: chunked\r\n"
        ),
        "cordon by GET": _admin_request("GET", "/admin/cordon"),
        "cordon by POST": _admin_request("POST", "/admin/cordon", upstream),
        "cordon of an unknown upstream": _admin_request("PUT", "/admin/cordon", unknown),
        "uncordon of an unknown upstream": _admin_request("PUT", "/admin/uncordon", unknown),
        "no body": _admin_request("PUT", "/admin/cordon"),
        "body not an object": _admin_request("PUT", "/admin/cordon", b"[1]"),
        "body without a name": _admin_request("PUT", "/admin/cordon", b"{}"),
        "name not a string": _admin_request("PUT", "/admin/cordon", b'{"who":true}'),
        "name too long": _admin_request("PUT", "/admin/cordon", b'{"who":"%s"}' % (b"x" * 201)),
        "body not JSON": _admin_request("PUT", "/admin/cordon", b'{"w'),
        "unknown path": _admin_request("GET", "/admin"),
        "unknown call": _admin_request("PUT", "/admin/drain", upstream),
        "path of clients": _admin_request("GET", "/_health"),
        "two framings": _admin_request(
            "PUT", "/admin/cordon", b"0\r\n\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
        ),
        "too large": _admin_request("PUT", "/admin/cordon", b"x" * TOO_LONG_ADMIN_BODY_LENGTH),
        "head too large": _admin_request("GET", "/admin/health", headers=f"X: {'y' * 20_000}\r\n"),
        "too many headers": _admin_request("GET", "/admin/health", headers="X: y\r\n" * 120),
        "upgrade": _admin_request(
            "GET", "/admin/health", headers="Connection: Upgrade\r\nUpgrade: websocket\r\n"
        ),
        "100-continue": _admin_request("PUT", "/admin/cordon", unknown, "Expect: 100-continue\r\n"),
        "not HTTP": b"what is this\r\n\r\n",
        "two calls": _admin_request("GET", "/admin/health") * 2,
    }


def run_admin_requests(context: ScenarioContext) -> None:
    """Send all kinds of admin requests, valid and invalid ones, and one that is never completed."""
    state_folder = context.folder / "state"
    state_folder.mkdir()
    context.start(context.start_upstream(echo), admin_enabled=True, state_folder=state_folder)
    incomplete = context.open_admin_client("incomplete request")
    incomplete.send(b"PUT /admin/cordon HTTP/1.1\r\nContent-Le")
    for label, data in _admin_requests().items():
        caller = context.open_admin_client(label)
        caller.send(data)
        caller.read_to_end()
    incomplete.read_to_end()
    _wait_until_served(context, "view", "a response of an uncordoned upstream")


def run_cordon(context: ScenarioContext) -> None:
    """Cordon one of two upstreams, then both, and uncordon them."""
    first, second = context.start_upstream(echo), context.start_upstream(echo)
    program = context.start(first, second, admin_enabled=True)
    for upstream in ("s-0", "s-1"):
        context.transcript.add_message("cordon", program.call_admin("PUT", "cordon", upstream))
        context.transcript.add_message("health", program.call_admin("GET", "health"))
        request_each_class(context, f"cordon {upstream}", SHORT_TIMEOUT_MS)
    for upstream in ("s-0", "s-1"):
        context.transcript.add_message("uncordon", program.call_admin("PUT", "uncordon", upstream))
        context.transcript.add_message("health", program.call_admin("GET", "health"))
        # An uncordoned upstream warms up: how soon it gets a request depends on timing.
        _wait_until_served(context, "view", "a response of an uncordoned upstream")


def run_cordon_without_a_folder(context: ScenarioContext) -> None:
    """Cordon an upstream while the state folder is missing: the cordon is in force, but not stored."""
    state_folder = context.folder / "missing"
    program = context.start(context.start_upstream(echo), admin_enabled=True, state_folder=state_folder)
    context.transcript.add_message("cordon", program.call_admin("PUT", "cordon", "s-0"))
    state_folder.mkdir()
    wait_until(lambda: program.call_admin("PUT", "cordon", "s-0").status == 200, "the cordon to be stored")


def _wait_until_served(context: ScenarioContext, request_class: str, what: str) -> None:
    """Send unrecorded requests of a class until one is served."""
    numbers = iter(range(10**6))

    def served() -> bool:
        data = request(request_class, f"{UNRECORDED_PREFIX}{next(numbers)}", timeout_ms=SHORT_TIMEOUT_MS)
        return context.program.exchange(data).status == 200

    wait_until(served, what)


def run_endpoint_lists(context: ScenarioContext) -> None:
    """Push updates on a watch: an upstream is added, drains, is ready again and is removed."""
    endpoint = context.start_upstream(echo)
    context.start()
    context.wait_watches(1)
    watch = context.discovery.watches[0]
    watch.push(EndpointList(2, (endpoint,)).line())
    _wait_until_served(context, "view", "the first upstream")
    request_each_class(context, "listed")
    for index, status in enumerate(("Terminating", "Ready", "Gone"), start=3):
        changed = Endpoint(endpoint.name, endpoint.address, status)
        watch.push(EndpointList(index, (changed,), snapshot=False).line())
        time.sleep(SETTLE_TIME_S)
        request_each_class(context, f"status {status}", SHORT_TIMEOUT_MS)


MALFORMED_LISTS = {
    "not JSON": b'{"index":3,"snapshot":tru',
    "not an object": b"[1,2]",
    "no index": b'{"snapshot":true,"endpoints":[]}',
    "unknown status": EndpointList(9, (Endpoint("s-0", "127.0.0.1:1", "Odd"),)).line(),
    "bad address": EndpointList(9, (Endpoint("s-0", "nowhere"),)).line(),
}


def run_malformed_lists(context: ScenarioContext) -> None:
    """Push malformed lists: each ends its watch, and the upstreams known before are kept."""
    context.start(context.start_upstream(echo))
    context.wait_watches(1)
    for number, (label, line) in enumerate(MALFORMED_LISTS.items(), start=1):
        context.discovery.watches[-1].push(line)
        context.wait_watches(number + 1)
        context.record_exchange(label, request("view", f"broken-{number}"))


def run_failing_discovery(context: ScenarioContext) -> None:
    """Reject calls to discovery, reset watches, and answer with something other than a watch."""
    endpoint = context.start_upstream(echo)
    context.start()
    context.wait_watches(1)
    context.discovery.scripted_responses += [
        response(503),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        response(200, EndpointList(7, (endpoint,)).line()),
    ]
    context.discovery.watches[0].reset()
    context.wait_watches(2)
    context.record_exchange("after a complete response", request("view", "f-1"))
    context.discovery.watches[1].push(EndpointList(6, (), snapshot=False).line())
    context.discovery.watches[1].push(EndpointList(8, (endpoint,)).line()[:-1])
    context.discovery.watches[1].push(b"}")
    context.discovery.watches[1].reset()
    context.wait_watches(3)


def run_pushed_lists(context: ScenarioContext) -> None:
    """Use the membership mode in which lists are pushed on a permanent watch."""
    endpoint = context.start_upstream(echo)
    context.discovery.initial_lines = [EndpointList(5, (endpoint,)).line()]
    context.start(settings=settings_with(membership_mode="pushed"))
    _wait_until_served(context, "view", "the pushed list")
    request_each_class(context, "pushed")
    context.discovery.watches[0].reset()
    context.wait_watches(2)
    request_each_class(context, "pushed again")


def run_reload(context: ScenarioContext) -> None:
    """Reload invalid configuration files, then a valid one."""
    program = context.start(context.start_upstream(echo))
    context.wait_watches(1)
    valid_content = program.configuration_file.read_bytes()
    without_limits = settings_with()
    del without_limits["limits"]
    invalid_files = {
        "no JSON": valid_content[:-20],
        "limits missing": json.dumps({**json.loads(valid_content), "settings": without_limits}).encode(),
        "deadline out of range": valid_content.replace(b'"deadline-s": 1.2', b'"deadline-s": -1.2'),
    }
    for label, content in invalid_files.items():
        program.configuration_file.write_bytes(content)
        program.signal(signal.SIGHUP)
        time.sleep(SETTLE_TIME_S)
        request_each_class(context, f"broken file, {label}")
    added = {"name": "added", "objective-s": 0.3, "deadline-s": 0.5, "effect": "safe"}
    settings = settings_with()
    settings["classes"] = [*settings["classes"], added]
    program.configure(settings)
    context.record_exchange("before the new class", request("added", "n-1"))
    program.signal(signal.SIGHUP)
    _wait_until_served(context, "added", "the new class")
    context.record_exchange("the new class", request("added", "n-2"))
    request_each_class(context, "after the good file")


def run_moved_discovery(context: ScenarioContext) -> None:
    """Change the discovery address in the configuration file: the watch moves there."""
    endpoint = context.start_upstream(echo)
    program = context.start()
    context.wait_watches(1)
    other_discovery = Discovery()
    other_discovery.initial_lines = [EndpointList(3, (endpoint,)).line()]
    context.name_address(other_discovery.address, "{other discovery}")
    program.configure(settings_with(), other_discovery.address)
    program.signal(signal.SIGHUP)
    _wait_until_served(context, "view", "the list of the other discovery")
    request_each_class(context, "moved")
    for message in other_discovery.received:
        context.transcript.add_message("other discovery", message)
    other_discovery.close()


def run_counters(context: ScenarioContext) -> None:
    """Send SIGUSR1, which logs the counters: the process keeps running."""
    program = context.start(context.start_upstream(echo))
    for _ in range(3):
        program.signal(signal.SIGUSR1)
        request_each_class(context, "counters")
    time.sleep(SETTLE_TIME_S)
    context.transcript.add_note("process", f"exit code {program.process.poll()}")


def run_termination(context: ScenarioContext) -> None:
    """Send SIGTERM with an open request and idle connections, and one more request after it."""
    program = context.start(context.start_upstream(echo_slowly), admin_enabled=True)
    opened, idle, late = context.open_client("open"), context.open_client("idle"), context.open_client("late")
    idle.send(request("view", "t-1"))
    idle.read()
    opened.send(request("pay", "t-2", b"open"))
    context.wait_received(2)
    program.signal(signal.SIGTERM)
    time.sleep(SETTLE_TIME_S)
    late.send(request("view", "t-3"))  # still answered, although no new connections are accepted
    for client in (opened, late, idle):
        client.read_to_end()
    context.transcript.add_note("process", f"exit code {program.wait()}")


def run_interrupt(context: ScenarioContext) -> None:
    """Send SIGINT to a process that is idle after a request with a long body."""
    program = context.start(context.start_upstream(echo))
    context.record_exchange("before", request("pay", "i-1", b"x" * LONG_BODY_LENGTH))
    program.signal(signal.SIGINT)
    context.transcript.add_note("process", f"exit code {program.wait()}")


def run_failing_starts(context: ScenarioContext) -> None:
    """Start processes with invalid configurations, and with an address already in use."""
    options = context.make_options(context.start_upstream(echo))
    contents = {
        "not JSON": b"{",
        "not an object": b"[]",
        "empty": b"{}",
        "no settings": json.dumps({"name": "n0", "listen": f"{CLIENT_HOST}:1", "discovery": "a:1"}).encode(),
    }
    for label, content in contents.items():
        _record_exit(context, label, Options(options.discovery, options.known, raw_configuration=content))
    bad_settings = {"classes": [{"name": "view"}]}
    _record_exit(context, "bad settings", Options(options.discovery, options.known, settings=bad_settings))
    bad_known = EndpointList(1, (Endpoint("s-0", "nowhere"),))
    _record_exit(context, "bad endpoint list", Options(options.discovery, bad_known))
    program = context.start()
    used_configuration = program.configuration_file.read_bytes()
    _record_exit(
        context,
        "address taken",
        Options(options.discovery, options.known, raw_configuration=used_configuration),
    )


def _record_exit(context: ScenarioContext, label: str, options: Options) -> None:
    context.transcript.add_note(label, f"exit code {context.launch(options).wait()}")


OPERATION_SCENARIOS = (
    Scenario("operator calls", run_admin_requests),
    Scenario("cordon", run_cordon),
    Scenario("cordon without a folder", run_cordon_without_a_folder),
    Scenario("endpoint lists", run_endpoint_lists),
    Scenario("broken lists", run_malformed_lists),
    Scenario("failing discovery", run_failing_discovery),
    Scenario("pushed lists", run_pushed_lists),
    Scenario("reload", run_reload),
    Scenario("moved discovery", run_moved_discovery),
    Scenario("counters", run_counters),
    Scenario("termination", run_termination),
    Scenario("interrupt", run_interrupt),
    Scenario("failing starts", run_failing_starts),
)
