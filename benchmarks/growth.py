"""Resource use of a sidecar as the fleet grows: 200 and 3,200 upstreams side by side, with caps.

Each fleet size has a real sidecar process, simulated upstreams and a simulated discovery service that sends
updates (``growth_peers.py``), and receives the same requests at the same times: safe, keyed and unsafe ones.
The total number of slots is the same for both sizes, so each upstream of the larger fleet has fewer. The
scenarios:

- ``start``: the sidecar knows no endpoint list and gets a snapshot from discovery; requests begin once it is
  ready.
- ``calm``: it starts with the current endpoint list, and nothing changes.
- ``replaced``: a tenth of the upstreams is replaced while requests go on, in ten batches.
- ``singly``: the same, one upstream at a time, so that discovery sends updates for each replaced upstream.

Each figure covers the whole life of the process, including its start. Prints one table, and exits with
status 1 if a cap is exceeded. Rows in parentheses have no cap; they put the other figures in context. If the
clients or the peers lag by tenths of a second, the machine was too busy for the share served to tell anything
about the sidecar.

Run as ``python -m benchmarks.growth [--seconds S] [--rate R] [--runs N] [--scenarios NAME ...]``.
"""

from __future__ import annotations

import argparse
import asyncio
import compileall
import contextlib
import json
import os
import resource
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any, cast

import uvloop

from benchmarks.exchange import ROOT, SETTINGS, cpu, free_port
from benchmarks.growth_peers import PeerCounts, content_length

SCENARIOS = ("start", "calm", "replaced", "singly")
TOTAL_SLOTS = 3200  # of all upstreams together
DEADLINE_S = 1.2  # of each request
LATE_RESPONSE_GRACE_S = 0.3  # after the deadline; then a request counts as unanswered
REPLACEMENT_BATCHES = 10
REPLACEMENT_START, REPLACEMENT_SPAN = 0.1, 0.7  # of the replacements, as fractions of --seconds
SAMPLE_INTERVAL_S = 0.05  # between two counts of the open descriptors
READY_TIMEOUT_S = 10.0
LAST_RESPONSES_TIMEOUT_S = 2.0
TERMINATION_TIMEOUT_S = 5.0  # after SIGTERM; then the process is killed
SIDECAR_SOCKETS = 576  # the descriptor limit in its configuration
SIDECARS = 14  # that share the fleet, according to the settings
BODY = b"x" * 64

GROWTH_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "classes": [
        {"name": "view", "objective-s": 0.6, "deadline-s": DEADLINE_S, "effect": "safe"},
        {
            "name": "order",
            "objective-s": 0.6,
            "deadline-s": DEADLINE_S,
            "effect": "keyed",
            "group": "all",
            "repeat-window-s": 1.5,
        },
        {"name": "pay", "objective-s": 0.6, "deadline-s": DEADLINE_S, "effect": "unsafe"},
    ],
    "balancers": SIDECARS,
    "zone": "z0",
    "telemetry": {"how": "answers", "columns": ["busy", "rate"]},
    "limits": {**SETTINGS["limits"], "cancelling": True},
    "safety": {
        "answer-slack-s": 0.02,
        "ask-within-s": 10.0,
        "cold-from": 0.35,
        "drain-grace-s": 0.25,
        "overload-for-s": 1.5,
        "tip-multiple": 3.0,
        "warm-within-s": 8.8,
    },
}
CLASS_SHARES = {"view": 0.6, "order": 0.3, "pay": 0.1}


@dataclass(frozen=True, slots=True)
class Figures:
    """The figures of one sidecar in one scenario. ``--json`` prints them under the names of the fields."""

    cpu: float  # s
    memory: float  # bytes; the peak
    descriptors: int  # the most that were open at a time
    connections: int  # to upstreams, opened
    list_bytes: int  # received from discovery
    share_served: float
    cpu_ready: float  # s of CPU time until the sidecar was ready
    time_ready: float  # s until the sidecar was ready
    answers: dict[str, int]  # the number of requests by result
    clients_lag: float  # s; the longest delay between the due time of a request and its start
    counts: PeerCounts


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table: a figure, and its cap if it has one.

    ``cap`` gets the figure of the smaller fleet and the size of the larger fleet in thousands of upstreams.
    """

    name: str
    get_figure: Callable[[Figures], float]
    format_spec: str
    scale: float = 1.0  # the printed figure is divided by it
    cap: Callable[[float, float], float] | None = None
    is_floor: bool = False  # the cap is a lower limit


ROWS = (
    Row("CPU, s", lambda f: f.cpu, ".2f", 1.0, lambda base, n: 1.4 * base + 0.02 + 0.12 * n),
    Row("peak memory, MB", lambda f: f.memory, ".1f", 1e6, lambda base, n: 1.5 * base + 8e6 + 4e6 * n),
    Row("descriptors", lambda f: f.descriptors, ".0f", 1.0, lambda base, n: 2.0 * base + 40),
    Row("connections made", lambda f: f.connections, ".0f", 1.0, lambda base, n: 2.5 * base + 40),
    Row(
        "endpoint lists, KB",
        lambda f: f.list_bytes,
        ".1f",
        1e3,
        lambda base, n: 2.0 * base + 64e3 + 500e3 * n,
    ),
    Row("share served", lambda f: f.share_served, ".4f", 1.0, lambda base, n: 0.85 * base, is_floor=True),
    Row("(CPU until ready, s)", lambda f: f.cpu_ready, ".2f"),
    Row("(time until ready, s)", lambda f: f.time_ready, ".2f"),
    Row("(requests sent)", lambda f: sum(f.answers.values()), ".0f"),
    Row("(unanswered)", lambda f: f.answers.get("unanswered", 0), ".0f"),
    Row("(refused)", lambda f: f.answers.get("refused", 0), ".0f"),
    Row("(failed)", lambda f: f.answers.get("failed", 0), ".0f"),
    Row("(attempts at upstreams)", lambda f: f.counts.requests, ".0f"),
    Row("(attempts rejected)", lambda f: f.counts.rejected, ".0f"),
    Row("(upstreams used)", lambda f: f.counts.upstreams_used, ".0f"),
    Row("(sent after the drain grace)", lambda f: f.counts.after_drain, ".0f"),
    Row("(calls to discovery)", lambda f: f.counts.list_calls, ".0f"),
    Row("(most lag of clients, s)", lambda f: f.clients_lag, ".2f"),
    Row("(most lag of peers, s)", lambda f: f.counts.most_lag, ".2f"),
)


class PeerProcess:
    """A process that simulates the upstreams and the discovery service of one fleet size."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.discovery_port, self.endpoint_list = 0, dict[str, Any]()

    @classmethod
    async def start(cls, count: int, capacity: float) -> PeerProcess:
        arguments = map(str, (count, count // 10, max(TOTAL_SLOTS // count, 1), capacity))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.growth_peers", *arguments, cwd=ROOT,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24,
        )  # fmt: skip
        peers = cls(process)
        first_report = await peers._read_report()
        peers.discovery_port, peers.endpoint_list = first_report["discovery"], first_report["list"]
        return peers

    def replace(self, number: int) -> None:
        self._send_command(b"replace %d\n" % number)

    async def fetch_counts(self) -> PeerCounts:
        self._send_command(b"count\n")
        return PeerCounts(**await self._read_report())

    async def stop(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def _send_command(self, line: bytes) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(line)

    async def _read_report(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        async with asyncio.timeout(60.0):
            line = await self.process.stdout.readline()
        if not line:
            raise SystemExit("the process of the simulated upstreams did not start, or has ended")
        report: dict[str, Any] = json.loads(line)
        return report


class ClientConnection(asyncio.Protocol):
    """A client connection that carries one request at a time."""

    def __init__(self) -> None:
        self._received, self._status = b"", asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._status.done():
            self._status.set_result(0)

    def data_received(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if end and len(body) >= content_length(head) and not self._status.done():
            self._status.set_result(int(head[9:12]))
            if b"connection: close" in head.lower():
                self._transport.close()

    async def request_status(self, message: bytes) -> int:
        """Send a request. Return the status of the response, or 0 if the connection ended without one."""
        self._received, self._status = b"", asyncio.get_running_loop().create_future()
        self._transport.write(message)
        status: int = await self._status
        return status

    def is_usable(self) -> bool:
        return not self._transport.is_closing()

    def close(self) -> None:
        self._transport.close()


@dataclass(slots=True)
class Clients:
    """The application beside a sidecar: open-loop load, whose arrivals do not depend on the responses."""

    port: int
    rate: float
    seconds: float
    seed: int
    answers: Counter[str] = field(default_factory=Counter)
    most_lag: float = 0.0  # s; the longest delay between the due time of a request and its start
    _idle: list[ClientConnection] = field(default_factory=list)

    async def send_requests(self) -> None:
        random, started_at, due = Random(self.seed), time.monotonic(), 0.0
        requests = set[asyncio.Task[None]]()
        number = 0
        while due < self.seconds:
            await asyncio.sleep(max(started_at + due - time.monotonic(), 0.0))
            self.most_lag = max(self.most_lag, time.monotonic() - started_at - due)
            number += 1
            message = self._message(number, random)
            requests.add(asyncio.create_task(self._run_request(message)))
            due += random.expovariate(self.rate)
        await asyncio.wait(requests, timeout=LAST_RESPONSES_TIMEOUT_S)
        for connection in self._idle:
            connection.close()

    async def _run_request(self, message: bytes) -> None:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(DEADLINE_S + LATE_RESPONSE_GRACE_S):
                connection = await self._take_connection()
                status = await connection.request_status(message)
        except (OSError, TimeoutError):
            self.answers["unanswered"] += 1
            if connection is not None:
                connection.close()
            return
        kind = {200: "served", 429: "refused", 503: "refused", 0: "unanswered"}.get(status, "failed")
        self.answers[kind] += 1
        if connection.is_usable():
            self._idle.append(connection)

    async def _take_connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable():
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", self.port)
        return connection

    def _message(self, number: int, random: Random) -> bytes:
        name = random.choices(list(CLASS_SHARES), list(CLASS_SHARES.values()))[0]
        method, more, body = ("GET", "", b"") if name == "view" else ("POST", "", BODY)
        if name == "order":
            more = f"Idempotency-Key: {random.getrandbits(128):032x}\r\n"
        if body:
            more += f"Content-Length: {len(body)}\r\n"
        head = (
            f"{method} /{name}/k{random.randrange(500)} HTTP/1.1\r\nHost: a\r\n"
            f"Request-Id: {self.seed:08x}{number:08x}\r\nRequest-Class: {name}\r\n"
            f"Request-Timeout-Ms: {DEADLINE_S * 1000:.0f}\r\n{more}\r\n"
        )
        return head.encode() + body


@dataclass(slots=True)
class Sidecar:
    """A sidecar process, and what is observed of it from outside."""

    process: asyncio.subprocess.Process
    port: int
    started_at: float
    descriptors: int = 0

    @classmethod
    async def start(cls, directory: Path, known: dict[str, Any], discovery_port: int) -> Sidecar:
        port = free_port()
        config = directory / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{discovery_port}",
                    "seed": "1",
                    "limits": {"sockets": SIDECAR_SOCKETS},
                    "known": known,
                    "settings": GROWTH_SETTINGS,
                }
            )
        )
        started_at = time.monotonic()
        with (directory / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "indigokeel", cwd=ROOT, stderr=log,
                env={**os.environ, "BALANCER_CONFIG": str(config)},
            )  # fmt: skip
        return cls(process, port, started_at)

    async def wait_until_ready(self) -> float:
        """Wait until the health check succeeds. Return the seconds since the start of the process."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                while not await self._is_ready():
                    await asyncio.sleep(0.01)
                return time.monotonic() - self.started_at
        raise SystemExit(f"the sidecar was not ready within {READY_TIMEOUT_S} s")

    async def _is_ready(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", self.port)
        except OSError:
            return False
        status = await connection.request_status(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        connection.close()
        return status == 200

    async def watch_descriptors(self) -> None:
        """Record the peak of the open descriptors, until the process ends or the task is cancelled."""
        while self.process.returncode is None:
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def cpu(self) -> float:
        return cpu(self.process.pid)

    def peak_memory(self) -> float:
        """Return the peak resident memory in bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return 1024.0 * int(status.partition("VmHWM:")[2].split()[0])

    async def stop(self) -> None:
        if self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERMINATION_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


async def run_scenario(scenario: str, upstreams: int, options: argparse.Namespace, seed: int) -> Figures:
    """Run one scenario with one fleet size."""
    peers = await PeerProcess.start(upstreams, options.capacity)
    try:
        with tempfile.TemporaryDirectory() as name:
            known = {} if scenario == "start" else peers.endpoint_list
            sidecar = await Sidecar.start(Path(name), known, peers.discovery_port)
            try:
                return await measure(scenario, upstreams, options, seed, peers, sidecar)
            finally:
                await sidecar.stop()
    finally:
        await peers.stop()


async def measure(
    scenario: str,
    upstreams: int,
    options: argparse.Namespace,
    seed: int,
    peers: PeerProcess,
    sidecar: Sidecar,
) -> Figures:
    """Send the requests, make the changes of the scenario, and read all figures afterwards."""
    descriptor_watch = asyncio.create_task(sidecar.watch_descriptors())
    time_ready, cpu_ready = await sidecar.wait_until_ready(), sidecar.cpu()
    clients = Clients(sidecar.port, options.rate, options.seconds, seed)
    batches = {"replaced": REPLACEMENT_BATCHES, "singly": upstreams // 10}.get(scenario, 0)
    try:
        await asyncio.gather(
            clients.send_requests(),
            replace_tenth(peers, upstreams, batches, options.seconds),
        )
    finally:
        descriptor_watch.cancel()
    counts, answers = await peers.fetch_counts(), clients.answers
    return Figures(
        cpu=sidecar.cpu(),
        memory=sidecar.peak_memory(),
        descriptors=sidecar.descriptors,
        connections=counts.connections,
        list_bytes=counts.list_bytes,
        share_served=answers["served"] / max(answers.total(), 1),
        cpu_ready=cpu_ready,
        time_ready=time_ready,
        answers=dict(answers),
        clients_lag=clients.most_lag,
        counts=counts,
    )


async def replace_tenth(peers: PeerProcess, upstreams: int, batches: int, seconds: float) -> None:
    """Replace a tenth of the upstreams in equal batches, or none if there are no batches."""
    first_due = time.monotonic() + REPLACEMENT_START * seconds
    for batch in range(batches):
        due = first_due + REPLACEMENT_SPAN * seconds * batch / batches
        await asyncio.sleep(max(due - time.monotonic(), 0.0))
        peers.replace(upstreams // 10 // batches)


def print_rows(scenario: str, small: Figures, large: Figures, sizes: tuple[int, int]) -> int:
    """Print the rows of a scenario. Return how many caps are exceeded."""
    exceeded = 0
    for row in ROWS:
        base, figure = row.get_figure(small), row.get_figure(large)
        cap_text, status = "", ""
        if row.cap is not None:
            cap = row.cap(base, sizes[1] / 1000.0)
            within_cap = figure >= cap if row.is_floor else figure <= cap
            exceeded += not within_cap
            cap_text, status = format(cap / row.scale, row.format_spec), "pass" if within_cap else "FAIL"
        cells = (
            format(base / row.scale, row.format_spec),
            format(figure / row.scale, row.format_spec),
            cap_text,
            status,
        )
        print(f"{scenario:9} {row.name:29}" + "".join(f"{cell:>10}" for cell in cells))
    return exceeded


async def run(options: argparse.Namespace, seed: int) -> int:
    """Run all scenarios once, both fleet sizes at the same time. Return how many caps are exceeded."""
    own_task = asyncio.current_task()
    assert own_task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, own_task.cancel)  # stops all processes, too
    sizes = (options.small, options.large)
    print(f"load averages at the start: {os.getloadavg()}, {os.cpu_count()} cores")
    print(f"{'scenario':9} {'figure':29}{sizes[0]:>10}{sizes[1]:>10}{'cap':>10}{'':>10}", flush=True)
    exceeded = 0
    for scenario in options.scenarios:
        small, large = await asyncio.gather(*(run_scenario(scenario, size, options, seed) for size in sizes))
        exceeded += print_rows(scenario, small, large, sizes)
        if options.json:
            print(json.dumps({"scenario": scenario, "small": asdict(small), "large": asdict(large)}))
        sys.stdout.flush()
    print(f"load averages at the end: {os.getloadavg()}; caps exceeded: {exceeded}", flush=True)
    return exceeded


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0, help="time of requests in each scenario")
    parser.add_argument("--rate", type=float, default=80.0, help="requests per second to each sidecar")
    parser.add_argument(
        "--capacity", type=float, default=0.0,
        help="requests per second that all upstreams together accept; 0: limited by their slots alone",
    )  # fmt: skip
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--small", type=int, default=200)
    parser.add_argument("--large", type=int, default=3200)
    parser.add_argument("--scenarios", nargs="*", choices=SCENARIOS, default=SCENARIOS)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    # As the build does, compile the modules beforehand: the sidecar runs with -B, which would not keep the
    # compiled modules, and compiling them is not to count in the figures of its start.
    compileall.compile_dir(ROOT / "indigokeel", quiet=1)
    exceeded = sum(uvloop.run(run(options, options.seed + run_number)) for run_number in range(options.runs))
    raise SystemExit(1 if exceeded else 0)


if __name__ == "__main__":
    main()
