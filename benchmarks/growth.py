"""What growth of the fleet costs a sidecar: one of 200 upstreams and one of 3,200 side by side, with caps.

Each size has a real sidecar process, stand-in upstreams and a stand-in discovery that tells changes
(``growth_peers.py``), and the same requests at the same times: safe, keyed and unsafe ones. The slots of all
upstreams together stay the same, so that each has fewer where there are more. The scenarios:

- ``start``: the sidecar knows no list and gets the whole from discovery; requests begin once it is ready.
- ``calm``: it starts from the list as it is, and nothing changes.
- ``replaced``: a tenth of the upstreams is replaced, in ten parts, while requests go on.
- ``singly``: the same one by one, so that discovery tells as many changes as upstreams are replaced.

Each figure is of the whole life of the process, its start included. Prints one table, and exits 1 where a cap
is passed. Rows in brackets have no cap: they tell what the figures rest on. Where clients or stand-ins lag by
tenths of a second, the machine was too busy for the share served to be a measure of the sidecar.

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
from benchmarks.growth_peers import FrequencyCounter, content_length

SCENARIOS = ("start", "calm", "replaced", "singly")
TOTAL_SLOTS = 3200  # of all upstreams together
DEADLINE = 1.2  # s that a client waits
LATE_TIME = 0.3  # s beyond it, after which a request counts as unanswered
REPLACED_PARTS = 10
REPLACED_FROM, REPLACED_SPAN = 0.1, 0.7  # parts of the time in which upstreams are replaced
SAMPLE_EVERY = 0.05  # s between two looks at the descriptors
READY_TIME = 10.0  # s in which a sidecar has to be ready
ANSWERS_TIME = 2.0  # s that the last answers may take
TERM_TIME = 5.0  # s from SIGTERM, after which the process is killed
SIDECAR_SOCKETS = 576
SIDECARS = 14
BODY = b"x" * 64

GROWTH_SETTINGS: dict[str, Any] = {
    **SETTINGS,
    "classes": [
        {"name": "view", "objective-s": 0.6, "deadline-s": DEADLINE, "effect": "safe"},
        {
            "name": "order",
            "objective-s": 0.6,
            "deadline-s": DEADLINE,
            "effect": "keyed",
            "group": "all",
            "repeat-window-s": 1.5,
        },
        {"name": "pay", "objective-s": 0.6, "deadline-s": DEADLINE, "effect": "unsafe"},
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
CLASS_PARTS = {"view": 0.6, "order": 0.3, "pay": 0.1}


@dataclass(frozen=True, slots=True)
class Figures:
    """What one sidecar cost in one scenario."""

    cpu: float  # s
    memory: float  # bytes, at the peak
    descriptors: int  # at the most
    connections: int  # made to upstreams
    list_bytes: int  # from discovery
    share_served: float
    cpu_ready: float  # s of CPU until it was ready
    time_ready: float  # s until it was ready
    answers: dict[str, int]
    clients_lag: float  # s, at the most, that a request began late
    counts: FrequencyCounter


@dataclass(frozen=True, slots=True)
class Row:
    """One line of the table: a figure, and its cap where the page has one."""

    name: str
    read: Callable[[Figures], float]
    form: str
    scale: float = 1.0
    cap: Callable[[float, float], float] | None = None  # of the smaller fleet's figure and thousands
    least: bool = False  # the cap is a floor


ROWS = (
    Row("CPU, s", lambda f: f.cpu, ".2f", 1.0, lambda base, n: 1.4 * base + 0.02 + 0.12 * n),
    Row("peak memory, MB", lambda f: f.memory, ".1f", 1e6, lambda base, n: 1.5 * base + 8e6 + 4e6 * n),
    Row("descriptors", lambda f: f.descriptors, ".0f", 1.0, lambda base, n: 2.0 * base + 40),
    Row("connections made", lambda f: f.connections, ".0f", 1.0, lambda base, n: 2.5 * base + 40),
    Row(
        "bytes of lists, KB",
        lambda f: f.list_bytes,
        ".1f",
        1e3,
        lambda base, n: 2.0 * base + 64e3 + 500e3 * n,
    ),
    Row("share served", lambda f: f.share_served, ".4f", 1.0, lambda base, n: 0.85 * base, least=True),
    Row("(CPU until ready, s)", lambda f: f.cpu_ready, ".2f"),
    Row("(time until ready, s)", lambda f: f.time_ready, ".2f"),
    Row("(requests asked)", lambda f: sum(f.answers.values()), ".0f"),
    Row("(unanswered)", lambda f: f.answers.get("unanswered", 0), ".0f"),
    Row("(refused)", lambda f: f.answers.get("refused", 0), ".0f"),
    Row("(failed)", lambda f: f.answers.get("failed", 0), ".0f"),
    Row("(attempts at upstreams)", lambda f: f.counts.requests, ".0f"),
    Row("(rejected there)", lambda f: f.counts.rejected, ".0f"),
    Row("(upstreams used)", lambda f: f.counts.upstreams_used, ".0f"),
    Row("(sent after a drain's grace)", lambda f: f.counts.after_drain, ".0f"),
    Row("(calls of discovery)", lambda f: f.counts.list_calls, ".0f"),
    Row("(clients' most lag, s)", lambda f: f.clients_lag, ".2f"),
    Row("(stand-ins' most lag, s)", lambda f: f.counts.most_lag, ".2f"),
)


class StandIns:
    """The process of one size's upstreams and discovery."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.discovery, self.list = 0, dict[str, Any]()

    @classmethod
    async def start(cls, count: int, capacity: float) -> StandIns:
        arguments = map(str, (count, count // 10, max(TOTAL_SLOTS // count, 1), capacity))
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "benchmarks.growth_peers", *arguments, cwd=ROOT,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, limit=1 << 24,
        )  # fmt: skip
        stand_ins = cls(process)
        said = await stand_ins._read()
        stand_ins.discovery, stand_ins.list = said["discovery"], said["list"]
        return stand_ins

    def replace(self, number: int) -> None:
        self._order(b"replace %d\n" % number)

    async def count(self) -> FrequencyCounter:
        self._order(b"count\n")
        return FrequencyCounter(**await self._read())

    async def end(self) -> None:
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()

    def _order(self, line: bytes) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(line)

    async def _read(self) -> dict[str, Any]:
        assert self.process.stdout is not None
        async with asyncio.timeout(60.0):
            line = await self.process.stdout.readline()
        if not line:
            raise SystemExit("the stand-ins did not start, or have ended")
        found: dict[str, Any] = json.loads(line)
        return found


class ClientConnection(asyncio.Protocol):
    """One client connection, which carries one request at a time."""

    def __init__(self) -> None:
        self._data, self._answered = b"", asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self._answered.done():
            self._answered.set_result(0)

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        if end and len(body) >= content_length(head) and not self._answered.done():
            self._answered.set_result(int(head[9:12]))
            if b"connection: close" in head.lower():
                self._transport.close()

    async def ask(self, message: bytes) -> int:
        """The status of the answer, or 0 where the connection ended without one."""
        self._data, self._answered = b"", asyncio.get_running_loop().create_future()
        self._transport.write(message)
        status: int = await self._answered
        return status

    def usable(self) -> bool:
        return not self._transport.is_closing()

    def close(self) -> None:
        self._transport.close()


@dataclass(slots=True)
class Clients:
    """The application beside a sidecar: fixed arrivals, whatever the answers."""

    port: int
    rate: float
    seconds: float
    seed: int
    answers: Counter[str] = field(default_factory=Counter)
    most_lag: float = 0.0  # s that a request began late
    _idle: list[ClientConnection] = field(default_factory=list)

    async def play(self) -> None:
        random, began, due = Random(self.seed), time.monotonic(), 0.0
        requests = set[asyncio.Task[None]]()
        number = 0
        while due < self.seconds:
            await asyncio.sleep(max(began + due - time.monotonic(), 0.0))
            self.most_lag = max(self.most_lag, time.monotonic() - began - due)
            number += 1
            message = self._message(number, random)
            requests.add(asyncio.create_task(self._ask(message)))
            due += random.expovariate(self.rate)
        await asyncio.wait(requests, timeout=ANSWERS_TIME)
        for connection in self._idle:
            connection.close()

    async def _ask(self, message: bytes) -> None:
        connection: ClientConnection | None = None
        try:
            async with asyncio.timeout(DEADLINE + LATE_TIME):
                connection = await self._connection()
                status = await connection.ask(message)
        except (OSError, TimeoutError):
            self.answers["unanswered"] += 1
            if connection is not None:
                connection.close()
            return
        kind = {200: "served", 429: "refused", 503: "refused", 0: "unanswered"}.get(status, "failed")
        self.answers[kind] += 1
        if connection.usable():
            self._idle.append(connection)

    async def _connection(self) -> ClientConnection:
        while self._idle:
            connection = self._idle.pop()
            if connection.usable():
                return connection
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", self.port)
        return connection

    def _message(self, number: int, random: Random) -> bytes:
        name = random.choices(list(CLASS_PARTS), list(CLASS_PARTS.values()))[0]
        method, more, body = ("GET", "", b"") if name == "view" else ("POST", "", BODY)
        if name == "order":
            more = f"Idempotency-Key: {random.getrandbits(128):032x}\r\n"
        if body:
            more += f"Content-Length: {len(body)}\r\n"
        head = (
            f"{method} /{name}/k{random.randrange(500)} HTTP/1.1\r\nHost: a\r\n"
            f"Request-Id: {self.seed:08x}{number:08x}\r\nRequest-Class: {name}\r\n"
            f"Request-Timeout-Ms: {DEADLINE * 1000:.0f}\r\n{more}\r\n"
        )
        return head.encode() + body


@dataclass(slots=True)
class Sidecar:
    """One sidecar process, and what was seen of it from outside."""

    process: asyncio.subprocess.Process
    port: int
    began: float
    descriptors: int = 0

    @classmethod
    async def start(cls, folder: Path, known: dict[str, Any], discovery: int) -> Sidecar:
        port = free_port()
        config = folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{port}",
                    "discovery": f"127.0.0.1:{discovery}",
                    "seed": "1",
                    "limits": {"sockets": SIDECAR_SOCKETS},
                    "known": known,
                    "settings": GROWTH_SETTINGS,
                }
            )
        )
        began = time.monotonic()
        with (folder / "log").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "indigokeel", cwd=ROOT, stderr=log,
                env={**os.environ, "BALANCER_CONFIG": str(config)},
            )  # fmt: skip
        return cls(process, port, began)

    async def ready(self) -> float:
        """Wait until it says that it is ready; the seconds since its start."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIME):
                while not await self._is_ready():
                    await asyncio.sleep(0.01)
                return time.monotonic() - self.began
        raise SystemExit(f"the sidecar was not ready within {READY_TIME} s")

    async def _is_ready(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(ClientConnection, "127.0.0.1", self.port)
        except OSError:
            return False
        status = await connection.ask(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        connection.close()
        return status == 200

    async def watch_descriptors(self) -> None:
        """Look at the descriptors until cancelled."""
        while self.process.returncode is None:
            self.descriptors = max(self.descriptors, len(os.listdir(f"/proc/{self.process.pid}/fd")))
            await asyncio.sleep(SAMPLE_EVERY)

    def cpu(self) -> float:
        return cpu(self.process.pid)

    def peak_memory(self) -> float:
        """Bytes."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return 1024.0 * int(status.partition("VmHWM:")[2].split()[0])

    async def end(self) -> None:
        if self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(TERM_TIME):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


async def play(scenario: str, upstreams: int, options: argparse.Namespace, seed: int) -> Figures:
    """One scenario with one size of the fleet."""
    stand_ins = await StandIns.start(upstreams, options.capacity)
    try:
        with tempfile.TemporaryDirectory() as name:
            known = {} if scenario == "start" else stand_ins.list
            sidecar = await Sidecar.start(Path(name), known, stand_ins.discovery)
            try:
                return await measure(scenario, upstreams, options, seed, stand_ins, sidecar)
            finally:
                await sidecar.end()
    finally:
        await stand_ins.end()


async def measure(
    scenario: str,
    upstreams: int,
    options: argparse.Namespace,
    seed: int,
    stand_ins: StandIns,
    sidecar: Sidecar,
) -> Figures:
    """Play the requests, and the changes of the scenario, and read all figures at their end."""
    watching = asyncio.create_task(sidecar.watch_descriptors())
    time_ready, cpu_ready = await sidecar.ready(), sidecar.cpu()
    clients = Clients(sidecar.port, options.rate, options.seconds, seed)
    parts = {"replaced": REPLACED_PARTS, "singly": upstreams // 10}.get(scenario, 0)
    try:
        await asyncio.gather(clients.play(), replace_tenth(stand_ins, upstreams, parts, options.seconds))
    finally:
        watching.cancel()
    counts, answers = await stand_ins.count(), clients.answers
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


async def replace_tenth(stand_ins: StandIns, upstreams: int, parts: int, seconds: float) -> None:
    """Replace a tenth of the upstreams in so many equal parts; none where there are no parts."""
    began = time.monotonic() + REPLACED_FROM * seconds
    for part in range(parts):
        due = began + REPLACED_SPAN * seconds * part / parts
        await asyncio.sleep(max(due - time.monotonic(), 0.0))
        stand_ins.replace(upstreams // 10 // parts)


def show(scenario: str, small: Figures, large: Figures, sizes: tuple[int, int]) -> int:
    """Print the scenario's part of the table; how many caps are passed."""
    passed = 0
    for row in ROWS:
        base, found = row.read(small), row.read(large)
        cap_text, status = "", ""
        if row.cap is not None:
            cap = row.cap(base, sizes[1] / 1000.0)
            kept = found >= cap if row.least else found <= cap
            passed += not kept
            cap_text, status = format(cap / row.scale, row.form), "pass" if kept else "FAIL"
        replica_groups = (
            format(base / row.scale, row.form),
            format(found / row.scale, row.form),
            cap_text,
            status,
        )
        print(
            f"{scenario:9} {row.name:29}"
            + "".join(f"{replica_group:>10}" for replica_group in replica_groups)
        )
    return passed


async def run(options: argparse.Namespace, seed: int) -> int:
    """All scenarios once, both sizes at the same time; how many caps are passed."""
    mine = asyncio.current_task()
    assert mine is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, mine.cancel)  # ends all processes, too
    sizes = (options.small, options.large)
    print(f"load averages at the start: {os.getloadavg()}, {os.cpu_count()} cores")
    print(f"{'scenario':9} {'figure':29}{sizes[0]:>10}{sizes[1]:>10}{'cap':>10}{'':>10}", flush=True)
    passed = 0
    for scenario in options.scenarios:
        small, large = await asyncio.gather(*(play(scenario, size, options, seed) for size in sizes))
        passed += show(scenario, small, large, sizes)
        if options.json:
            print(json.dumps({"scenario": scenario, "small": asdict(small), "large": asdict(large)}))
        sys.stdout.flush()
    print(f"load averages at the end: {os.getloadavg()}; caps passed: {passed}", flush=True)
    return passed


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0, help="of requests in each scenario")
    parser.add_argument("--rate", type=float, default=80.0, help="requests a second to each sidecar")
    parser.add_argument(
        "--capacity", type=float, default=0.0,
        help="requests a second that all upstreams together take from this sidecar; 0: as their slots allow",
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
    # As the build does: the program runs with -B, and compiling its modules is no part of its start.
    compileall.compile_dir(ROOT / "indigokeel", quiet=1)
    passed = sum(uvloop.run(run(options, options.seed + turn)) for turn in range(options.runs))
    raise SystemExit(1 if passed else 0)


if __name__ == "__main__":
    main()
