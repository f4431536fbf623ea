"""Compare hot restarts between two checkouts on one listening socket, under light traffic.

The processes BASE, NEW, BASE and NEW replace each other, so that both directions are covered. A cordon set at
the first process has to be in force at all later ones. A second one, set at each new process while the
previous process is still serving, has to be in force at both.
"""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.comparison.discovery import Discovery, EndpointList
from benchmarks.comparison.messages import PEER_TIMEOUT_S, Message, read_message, request
from benchmarks.comparison.program import ComparisonError, Options, Program, wait_until
from benchmarks.comparison.scenario import temporary_folder
from benchmarks.comparison.state_comparison import HTTP_OK, UpstreamTrio

REQUEST_INTERVAL_S = 0.005  # time between two requests of a client
SERVING_TIME_S = 0.5  # time between two steps, while requests continue
CORDON_PROPAGATION_S = 0.3  # time within which a cordon set at one process is in force at the others
LISTEN_BACKLOG = 512
HTTP_UNAVAILABLE = 503
MAX_FAILURES_SHOWN = 3
FIRST_CORDONED, SECOND_CORDONED = 0, 1  # numbers of upstreams


@dataclass(slots=True)
class Traffic:
    """The requests sent by the clients, and their outcomes."""

    address: tuple[str, int]
    stop: threading.Event = field(default_factory=threading.Event)
    lock: threading.Lock = field(default_factory=threading.Lock)
    sent: int = 0
    served: set[str] = field(default_factory=set)
    rejected: set[str] = field(default_factory=set)
    failures: list[str] = field(default_factory=list)

    def next_id(self) -> str:
        """Return the id of the next request."""
        with self.lock:
            self.sent += 1
            return f"request-{self.sent}"

    def record_response(self, request_id: str, response: Message | None) -> None:
        """Record the outcome of a request."""
        with self.lock:
            if response is None:
                self.failures.append(f"{request_id}: closed without a response")
            elif response.status == HTTP_OK and response.body == request_id.encode():
                self.served.add(request_id)
            elif response.status == HTTP_UNAVAILABLE and response.header("Retry-After"):
                self.rejected.add(request_id)
            else:
                self.failures.append(f"{request_id}: {response.first_line}: {response.body!r}")


def run_client(traffic: Traffic, keep_alive: bool) -> None:
    """Send one request after another until the traffic is stopped, reusing connections if ``keep_alive``."""
    try:
        while not traffic.stop.is_set():
            with socket.create_connection(traffic.address, timeout=PEER_TIMEOUT_S) as connection:
                _use_connection(traffic, connection, keep_alive)
    except (OSError, ValueError) as error:
        traffic.failures.append(f"{type(error).__name__}: {error}")


def _use_connection(traffic: Traffic, connection: socket.socket, keep_alive: bool) -> None:
    with connection.makefile("rb") as file:
        while True:
            request_id = traffic.next_id()
            connection.sendall(request("pay", request_id, request_id.encode()))
            response = read_message(file)
            traffic.record_response(request_id, response)
            time.sleep(REQUEST_INTERVAL_S)
            last = response is None or response.header("Connection") == "close"
            if last or not keep_alive or traffic.stop.is_set():
                return


class RestartSequence:
    """The processes that use one listening socket, one after another."""

    def __init__(
        self, folder: Path, listener: socket.socket, upstreams: UpstreamTrio, discovery: Discovery
    ) -> None:
        self._folder, self._upstreams = folder, upstreams
        state_folder = folder / "state"
        state_folder.mkdir()
        self._options = Options(
            discovery.address,
            EndpointList(1, upstreams.endpoints),
            admin_enabled=True,
            state_folder=state_folder,
            listener=listener,
        )
        self.programs: list[Program] = []

    def start(self, checkout: Path) -> Program:
        """Start a new process beside the previous one, and wait until it is ready."""
        program = Program(checkout, self._folder, self._options)
        self.programs.append(program)
        program.wait_ready()
        return program

    def requests_at(self, upstream: int) -> int:
        """Return the number of requests that an upstream has received."""
        return self._upstreams.counts()[upstream]

    def cordon(self, program: Program, upstream: int) -> None:
        """Cordon an upstream at one process, and wait until the others have learned of it."""
        self._call(program, "cordon", upstream)
        time.sleep(CORDON_PROPAGATION_S)

    def uncordon(self, program: Program, upstream: int) -> None:
        """Uncordon an upstream at one process, and wait until it gets requests."""
        before = self.requests_at(upstream)
        self._call(program, "uncordon", upstream)
        wait_until(lambda: self.requests_at(upstream) > before, "requests at an uncordoned upstream")

    def _call(self, program: Program, call: str, upstream: int) -> None:
        status = program.call_admin("PUT", call, f"s-{upstream}").status
        if status != HTTP_OK:
            raise ComparisonError(f"{call} was answered with {status}")


@dataclass(frozen=True, slots=True)
class Step:
    """A restart with a process of this checkout."""

    label: str
    checkout: Path


def run_steps(restarts: RestartSequence, first: Path, steps: list[Step]) -> Iterator[str]:
    """Do the restarts; yield a line for each cordon that is not in force and each nonzero exit code."""
    old = restarts.start(first)
    time.sleep(SERVING_TIME_S)
    restarts.cordon(old, FIRST_CORDONED)
    first_cordoned_before = restarts.requests_at(FIRST_CORDONED)
    for step in steps:
        new = restarts.start(step.checkout)
        restarts.cordon(new, SECOND_CORDONED)
        second_cordoned_before = restarts.requests_at(SECOND_CORDONED)
        time.sleep(SERVING_TIME_S)
        old.signal(signal.SIGTERM)
        exit_code = old.wait()
        if exit_code:
            yield f"restart: {step.label}: the old process exited with {exit_code}"
        time.sleep(SERVING_TIME_S)
        if restarts.requests_at(SECOND_CORDONED) != second_cordoned_before:
            yield f"restart: {step.label}: a cordon set at the new process was not in force at both processes"
        restarts.uncordon(new, SECOND_CORDONED)
        if restarts.requests_at(FIRST_CORDONED) != first_cordoned_before:
            yield f"restart: {step.label}: the cordon set at the first process was not in force"
            first_cordoned_before = restarts.requests_at(FIRST_CORDONED)
        old = new
    restarts.uncordon(old, FIRST_CORDONED)


def check_traffic(traffic: Traffic, upstreams: UpstreamTrio) -> Iterator[str]:
    """Yield a line for each kind of request that was lost, failed, or did not run as often as it has to."""
    for failure in traffic.failures[:MAX_FAILURES_SHOWN]:
        yield f"restart: a request failed: {failure}"
    run_counts = Counter(
        message.header("Request-Id") for received in upstreams.received for message in received.messages
    )
    if lost := traffic.sent - len(traffic.served) - len(traffic.rejected) - len(traffic.failures):
        yield f"restart: {lost} requests were neither answered nor failed"
    if not_run_once := sum(1 for request_id in traffic.served if run_counts[request_id] != 1):
        yield f"restart: {not_run_once} requests did not run exactly once"
    if rejected := sum(1 for request_id in traffic.rejected if run_counts[request_id]):
        yield f"restart: {rejected} requests were rejected but ran"
    if not traffic.served:
        yield "restart: no request was served"


def compare_restarts(base: Path, new: Path) -> Iterator[str]:
    """Yield a line for each request or cordon that is lost in restarts between two checkouts."""
    steps = [Step("BASE to NEW", new), Step("NEW to BASE", base), Step("BASE to NEW again", new)]
    upstreams, discovery = UpstreamTrio(), Discovery()
    listener = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
    traffic = Traffic(listener.getsockname())
    clients = [
        threading.Thread(target=run_client, args=(traffic, keep_alive)) for keep_alive in (True, False)
    ]
    with temporary_folder() as folder, listener:
        restarts = RestartSequence(folder, listener, upstreams, discovery)
        for client in clients:
            client.start()
        try:
            yield from run_steps(restarts, base, steps)
        except (ComparisonError, OSError) as error:
            yield f"restart: {error}"
        finally:
            traffic.stop.set()
            for client in clients:
                client.join()
            for program in restarts.programs:
                program.kill()
            for server in (*upstreams.servers, discovery):
                server.close()
        yield from check_traffic(traffic, upstreams)
