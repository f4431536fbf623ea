"""Scenarios of operators, discovery and signals."""

from __future__ import annotations

import json
import signal
import time

from benchmarks.comparison.client_scenarios import LONG_BODY_LENGTH, echo_slowly
from benchmarks.comparison.discovery import Discovery, Endpoint, EndpointList
from benchmarks.comparison.messages import chunked, request, response
from benchmarks.comparison.program import CLIENT_HOST, Options, wait_until
from benchmarks.comparison.scenario import UNRECORDED_PREFIX, Scenario, ScenarioContext, settings_with
from benchmarks.comparison.upstream_scenarios import SHORT_TIMEOUT_MS, ask_each_class
from benchmarks.comparison.upstreams import echo

SETTLE_TIME_S = 0.4  # for what leaves no trace to wait for
MAX_OPERATOR_CALL_LENGTH = 20_000


def _operator_call(method: str, call: str, body: bytes = b"", headers: str = "") -> bytes:
    head = f"{method} {call} HTTP/1.1\r\nHost: a\r\n{headers}"
    if "Transfer-Encoding" not in headers and body:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


def _operator_calls() -> dict[str, bytes]:
    """Return calls of operators by label, in an order in which each has one answer."""
    upstream, unknown = b'{"who":"s-0"}', b'{"who":"unknown"}'
    framed = chunked(upstream, 8)
    return {
        "health": _operator_call("GET", "/admin/health"),
        "health with a query": _operator_call("GET", "/admin/health?verbose"),
        "health by HEAD": _operator_call("HEAD", "/admin/health"),
        "health by PUT": _operator_call("PUT", "/admin/health"),
        "uncordon before": _operator_call("PUT", "/admin/uncordon", upstream),
        "cordon": _operator_call("PUT", "/admin/cordon", upstream),
        "cordon again": _operator_call("PUT", "/admin/cordon", upstream),
        "health, one of one cordoned": _operator_call("GET", "/admin/health"),
        "uncordon in chunks": _operator_call(
            "PUT", "/admin/uncordon", framed, "Transfer-Encoding: chunked\r\n"
        ),
        "cordon by GET": _operator_call("GET", "/admin/cordon"),
        "cordon by POST": _operator_call("POST", "/admin/cordon", upstream),
        "cordon of an unknown one": _operator_call("PUT", "/admin/cordon", unknown),
        "uncordon of an unknown one": _operator_call("PUT", "/admin/uncordon", unknown),
        "no body": _operator_call("PUT", "/admin/cordon"),
        "body no object": _operator_call("PUT", "/admin/cordon", b"[1]"),
        "body without a name": _operator_call("PUT", "/admin/cordon", b"{}"),
        "name no text": _operator_call("PUT", "/admin/cordon", b'{"who":true}'),
        "name too long": _operator_call("PUT", "/admin/cordon", b'{"who":"%s"}' % (b"x" * 201)),
        "body no JSON": _operator_call("PUT", "/admin/cordon", b'{"w'),
        "unknown path": _operator_call("GET", "/admin"),
        "unknown call": _operator_call("PUT", "/admin/drain", upstream),
        "path of clients": _operator_call("GET", "/_health"),
        "two framings": _operator_call(
            "PUT", "/admin/cordon", b"0\r\n\r\n", "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
        ),
        "too large": _operator_call("PUT", "/admin/cordon", b"x" * MAX_OPERATOR_CALL_LENGTH),
        "head too large": _operator_call("GET", "/admin/health", headers=f"X: {'y' * 20_000}\r\n"),
        "too many headers": _operator_call("GET", "/admin/health", headers="X: y\r\n" * 120),
        "upgrade": _operator_call(
            "GET", "/admin/health", headers="Connection: Upgrade\r\nUpgrade: websocket\r\n"
        ),
        "100-continue": _operator_call("PUT", "/admin/cordon", unknown, "Expect: 100-continue\r\n"),
        "no HTTP": b"what is this\r\n\r\n",
        "two calls": _operator_call("GET", "/admin/health") * 2,
    }


def run_operator_calls(context: ScenarioContext) -> None:
    """Make every call of operators, good and bad, and one that is never whole."""
    state_folder = context.folder / "state"
    state_folder.mkdir()
    context.start(context.upstream(echo), operators=True, state_folder=state_folder)
    half = context.operator("half a call")
    half.send(b"PUT /admin/cordon HTTP/1.1\r\nContent-Le")
    for label, data in _operator_calls().items():
        caller = context.operator(label)
        caller.send(data)
        caller.read_to_end()
    half.read_to_end()
    _ask_until_served(context, "view", "an upstream given back")


def run_cordon(context: ScenarioContext) -> None:
    """Cordon one of two upstreams, then both, and give them back."""
    first, second = context.upstream(echo), context.upstream(echo)
    program = context.start(first, second, operators=True)
    for upstream in ("s-0", "s-1"):
        context.transcript.add_message("cordon", program.call_operator("PUT", "cordon", upstream))
        context.transcript.add_message("health", program.call_operator("GET", "health"))
        ask_each_class(context, f"cordon {upstream}", SHORT_TIMEOUT_MS)
    for upstream in ("s-0", "s-1"):
        context.transcript.add_message("uncordon", program.call_operator("PUT", "uncordon", upstream))
        context.transcript.add_message("health", program.call_operator("GET", "health"))
        # One that is given back is cold: how soon it takes a request is a matter of time.
        _ask_until_served(context, "view", "an upstream given back")


def run_cordon_without_a_folder(context: ScenarioContext) -> None:
    """Cordon where the state folder does not exist: in force, but not stored."""
    state_folder = context.folder / "missing"
    program = context.start(context.upstream(echo), operators=True, state_folder=state_folder)
    context.transcript.add_message("cordon", program.call_operator("PUT", "cordon", "s-0"))
    state_folder.mkdir()
    wait_until(lambda: program.call_operator("PUT", "cordon", "s-0").status == 200, "a stored cordon")


def _ask_until_served(context: ScenarioContext, request_class: str, what: str) -> None:
    """Ask for a class, without recording it, until it is served."""
    numbers = iter(range(10**6))

    def served() -> bool:
        data = request(request_class, f"{UNRECORDED_PREFIX}{next(numbers)}", timeout_ms=SHORT_TIMEOUT_MS)
        return context.program.exchange(data).status == 200

    wait_until(served, what)


def run_endpoint_lists(context: ScenarioContext) -> None:
    """Push changes on a watch: upstreams that come, drain and are gone."""
    endpoint = context.upstream(echo)
    context.start()
    context.wait_watches(1)
    watch = context.discovery.watches[0]
    watch.push(EndpointList(2, (endpoint,)).line())
    _ask_until_served(context, "view", "the first upstream")
    ask_each_class(context, "listed")
    for index, status in enumerate(("Terminating", "Ready", "Gone"), start=3):
        changed = Endpoint(endpoint.name, endpoint.address, status)
        watch.push(EndpointList(index, (changed,), snapshot=False).line())
        time.sleep(SETTLE_TIME_S)
        ask_each_class(context, f"status {status}", SHORT_TIMEOUT_MS)


BROKEN_LISTS = {
    "no JSON": b'{"index":3,"snapshot":tru',
    "no object": b"[1,2]",
    "no index": b'{"snapshot":true,"endpoints":[]}',
    "unknown status": EndpointList(9, (Endpoint("s-0", "127.0.0.1:1", "Odd"),)).line(),
    "bad address": EndpointList(9, (Endpoint("s-0", "nowhere"),)).line(),
}


def run_broken_lists(context: ScenarioContext) -> None:
    """Push lists that cannot be read: each ends its watch, and the upstreams known before stay."""
    context.start(context.upstream(echo))
    context.wait_watches(1)
    for number, (label, line) in enumerate(BROKEN_LISTS.items(), start=1):
        context.discovery.watches[-1].push(line)
        context.wait_watches(number + 1)
        context.ask(label, request("view", f"broken-{number}"))


def run_failing_discovery(context: ScenarioContext) -> None:
    """Refuse calls, break off watches and answer in other ways than with a watch."""
    endpoint = context.upstream(echo)
    context.start()
    context.wait_watches(1)
    context.discovery.refusals += [
        response(503),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        response(200, EndpointList(7, (endpoint,)).line()),
    ]
    context.discovery.watches[0].reset()
    context.wait_watches(2)
    context.ask("after a whole response", request("view", "f-1"))
    context.discovery.watches[1].push(EndpointList(6, (), snapshot=False).line())
    context.discovery.watches[1].push(EndpointList(8, (endpoint,)).line()[:-1])
    context.discovery.watches[1].push(b"}")
    context.discovery.watches[1].reset()
    context.wait_watches(3)


def run_pushed_lists(context: ScenarioContext) -> None:
    """Have lists pushed by an agent, which is watched for good."""
    endpoint = context.upstream(echo)
    context.discovery.first_lines = [EndpointList(5, (endpoint,)).line()]
    context.start(settings=settings_with(membership_mode="pushed"))
    _ask_until_served(context, "view", "the pushed list")
    ask_each_class(context, "pushed")
    context.discovery.watches[0].reset()
    context.wait_watches(2)
    ask_each_class(context, "pushed again")


def run_reload(context: ScenarioContext) -> None:
    """Replace the configuration file by broken ones and by good ones."""
    program = context.start(context.upstream(echo))
    context.wait_watches(1)
    good = program.configuration_file.read_bytes()
    without_limits = settings_with()
    del without_limits["limits"]
    broken_files = {
        "no JSON": good[:-20],
        "limits missing": json.dumps({**json.loads(good), "settings": without_limits}).encode(),
        "deadline out of range": good.replace(b'"deadline-s": 1.2', b'"deadline-s": -1.2'),
    }
    for label, content in broken_files.items():
        program.configuration_file.write_bytes(content)
        program.signal(signal.SIGHUP)
        time.sleep(SETTLE_TIME_S)
        ask_each_class(context, f"broken file, {label}")
    added = {"name": "added", "objective-s": 0.3, "deadline-s": 0.5, "effect": "safe"}
    settings = settings_with()
    settings["classes"] = [*settings["classes"], added]
    program.configure(settings)
    context.ask("before the new class", request("added", "n-1"))
    program.signal(signal.SIGHUP)
    _ask_until_served(context, "added", "the new class")
    context.ask("the new class", request("added", "n-2"))
    ask_each_class(context, "after the good file")


def run_moved_discovery(context: ScenarioContext) -> None:
    """Name another discovery in the configuration file: the watch moves there."""
    endpoint = context.upstream(echo)
    program = context.start()
    context.wait_watches(1)
    moved = Discovery()
    moved.first_lines = [EndpointList(3, (endpoint,)).line()]
    context.name_address(moved.address, "{other discovery}")
    program.configure(settings_with(), moved.address)
    program.signal(signal.SIGHUP)
    _ask_until_served(context, "view", "the list of the other discovery")
    ask_each_class(context, "moved")
    for message in moved.received:
        context.transcript.add_message("other discovery", message)
    moved.close()


def run_counters(context: ScenarioContext) -> None:
    """Send SIGUSR1: the process goes on."""
    program = context.start(context.upstream(echo))
    for _ in range(3):
        program.signal(signal.SIGUSR1)
        ask_each_class(context, "counters")
    time.sleep(SETTLE_TIME_S)
    context.transcript.add_note("process", f"exit code {program.process.poll()}")


def run_termination(context: ScenarioContext) -> None:
    """Send SIGTERM while requests are open and connections idle, and one more request after it."""
    program = context.start(context.upstream(echo_slowly), operators=True)
    opened, idle, late = context.client("open"), context.client("idle"), context.client("late")
    idle.send(request("view", "t-1"))
    idle.read()
    opened.send(request("pay", "t-2", b"open"))
    context.wait_received(2)
    program.signal(signal.SIGTERM)
    time.sleep(SETTLE_TIME_S)
    late.send(request("view", "t-3"))  # answered when nothing more is accepted
    for client in (opened, late, idle):
        client.read_to_end()
    context.transcript.add_note("process", f"exit code {program.wait()}")


def run_interrupt(context: ScenarioContext) -> None:
    """Send SIGINT to an idle process, after a long body."""
    program = context.start(context.upstream(echo))
    context.ask("before", request("pay", "i-1", b"x" * LONG_BODY_LENGTH))
    program.signal(signal.SIGINT)
    context.transcript.add_note("process", f"exit code {program.wait()}")


def run_failing_starts(context: ScenarioContext) -> None:
    """Start from configurations that no process can start from, and at an address that is taken."""
    options = context.options(context.upstream(echo))
    contents = {
        "no JSON": b"{",
        "no object": b"[]",
        "empty": b"{}",
        "no settings": json.dumps({"name": "n0", "listen": f"{CLIENT_HOST}:1", "discovery": "a:1"}).encode(),
    }
    for label, content in contents.items():
        _record_exit(context, label, Options(options.discovery, options.known, broken_configuration=content))
    bad_settings = {"classes": [{"name": "view"}]}
    _record_exit(context, "bad settings", Options(options.discovery, options.known, settings=bad_settings))
    bad_known = EndpointList(1, (Endpoint("s-0", "nowhere"),))
    _record_exit(context, "bad endpoint list", Options(options.discovery, bad_known))
    program = context.start()
    taken = program.configuration_file.read_bytes()
    _record_exit(
        context, "address taken", Options(options.discovery, options.known, broken_configuration=taken)
    )


def _record_exit(context: ScenarioContext, label: str, options: Options) -> None:
    context.transcript.add_note(label, f"exit code {context.launch(options).wait()}")


OPERATION_SCENARIOS = (
    Scenario("operator calls", run_operator_calls),
    Scenario("cordon", run_cordon),
    Scenario("cordon without a folder", run_cordon_without_a_folder),
    Scenario("endpoint lists", run_endpoint_lists),
    Scenario("broken lists", run_broken_lists),
    Scenario("failing discovery", run_failing_discovery),
    Scenario("pushed lists", run_pushed_lists),
    Scenario("reload", run_reload),
    Scenario("moved discovery", run_moved_discovery),
    Scenario("counters", run_counters),
    Scenario("termination", run_termination),
    Scenario("interrupt", run_interrupt),
    Scenario("failing starts", run_failing_starts),
)
