"""Stand-ins for the cases 6 to 10: the platform, port servers, discovery and clients, on loopback addresses.

Only the standard library is used. Every program that a case starts is ended by ``Rig.close``.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, BinaryIO

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
RESULTS = ("rule held", "RULE BROKEN", "could not run")
MAX_RUN_S = 112.0  # a case that takes longer could not run
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """What was sent, answered and run, with times; written to ``record.txt`` of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        now = time.monotonic() - self._started_at
        with self._lock:
            self._file.write(f"{now:9.4f} {text}\n")
            self._file.flush()


def silent(text: str) -> None:
    """Take the place of a record where every line would be too much."""
    del text


class Message:
    """A request or a response that was read whole."""

    def __init__(self, line: str, headers: dict[str, str], body: bytes) -> None:
        self.line = line
        self.headers = headers
        self.body = body
        self.first_byte_at = 0.0
        self.at = time.monotonic()  # of the last byte

    @property
    def id(self) -> str:
        """The id of the request."""
        return self.headers.get("request-id", "")

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.line.split(" ")[1])


def read_message(file: BinaryIO) -> Message | None:
    """Read a message with a length, a chunked body or none; None at the end of the stream."""
    line = file.readline()
    if not line:
        return None
    began_at = time.monotonic()
    headers: dict[str, str] = {}
    while True:
        header = file.readline()
        if not header:
            return None
        if not header.strip():
            break
        name, _, value = header.partition(b":")
        headers[name.decode("latin-1").lower()] = value.strip().decode("latin-1")
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(file.readline().split(b";")[0], 16)
            body += file.read(size)
            file.readline()
            if size == 0:
                break
    elif "content-length" in headers:
        length = int(headers["content-length"])
        body = file.read(length)
        if len(body) < length:
            return None
    message = Message(line.decode("latin-1").strip(), headers, body)
    message.first_byte_at = began_at
    return message


class Server:
    """A server on a free port of 127.0.0.1, with one thread for each connection."""

    def __init__(self) -> None:
        listener = self.listen()
        self.port: int = listener.getsockname()[1]
        self.connections: set[socket.socket] = set()
        threading.Thread(target=self.accept_all, args=(listener,), daemon=True).start()

    @property
    def address(self) -> str:
        """The address as ``host:port``."""
        return f"127.0.0.1:{self.port}"

    def listen(self) -> socket.socket:
        """Return the listener."""
        return socket.create_server(("127.0.0.1", 0), backlog=256)

    def accept_all(self, listener: socket.socket) -> None:
        """Accept connections, in a thread of its own."""
        while True:
            self.accepted(listener.accept()[0])

    def accepted(self, conn: socket.socket) -> None:
        """Serve a new connection in a thread of its own."""
        conn.settimeout(None)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.connections.add(conn)
        threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn: socket.socket) -> None:
        try:
            with contextlib.suppress(OSError, ValueError), conn, conn.makefile("rb") as file:
                self.serve(conn, file)
        finally:
            self.connections.discard(conn)

    def serve(self, conn: socket.socket, file: BinaryIO) -> None:
        """Serve one connection until it ends."""
        raise NotImplementedError


def response(status: int, body: bytes = b"", more: str = "") -> bytes:
    """Return a whole response."""
    reason = {200: "OK", 500: "Internal Server Error", 503: "Service Unavailable"}.get(status, "Status")
    return f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{more}\r\n".encode() + body


class PortServer(Server):
    """A port server: ``answer`` is called for each whole request and writes the response.

    It returns False to end the connection. Probes are answered here.
    """

    def __init__(
        self,
        name: str,
        record: Callable[[str], None],
        answer: Callable[[PortServer, Message, socket.socket], bool],
    ) -> None:
        self.name = name
        self.record = record
        self.answer = answer
        self.received: list[Message] = []
        super().__init__()

    def serve(self, conn: socket.socket, file: BinaryIO) -> None:
        """Read requests one after another and answer each."""
        while (message := read_message(file)) is not None:
            path = message.line.split(" ")[1]
            if path in ("/ping", "/_load"):
                if not self.probe(conn):
                    return
                continue
            self.received.append(message)
            self.record(f"{self.name} begins {message.line.split(' HTTP')[0]} id={message.id}")
            if not self.answer(self, message, conn):
                return

    def probe(self, conn: socket.socket) -> bool:
        """Answer a probe; return False to end the connection."""
        conn.sendall(response(200, b"util=0.1,qps=5"))
        return True


class Discovery(Server):
    """Discovery: whole lists and watches. ``gate``, if set, may refuse a call before it is answered."""

    def __init__(self, record: Record, endpoints: list[dict[str, Any]], index: int = 41) -> None:
        self.record = record
        self.index = index
        self.endpoints = {entry["name"]: entry for entry in endpoints}
        self.changed_at: dict[str, int] = dict.fromkeys(self.endpoints, index)
        self.gate: Callable[[socket.socket], bool] | None = None
        self._condition = threading.Condition()
        super().__init__()

    def change(self, *entries: dict[str, Any]) -> None:
        """Change entries of the list, and tell all open watches."""
        with self._condition:
            self.index += 1
            for entry in entries:
                self.endpoints[entry["name"]] = entry
                self.changed_at[entry["name"]] = self.index
                self.record(f"discovery has {entry['name']} {entry['status']} at index {self.index}")
            self._condition.notify_all()

    def reset_watches(self) -> None:
        """Reset all connections."""
        for conn in list(self.connections):
            reset(conn)

    def serve(self, conn: socket.socket, file: BinaryIO) -> None:
        """Answer calls."""
        while (message := read_message(file)) is not None:
            target = message.line.split(" ")[1]
            self.record(f"discovery is called: {target}")
            if self.gate is not None and not self.gate(conn):
                return
            if "watch=1" in target:
                self._watch(conn, int(target.rpartition("after=")[2]))
                return
            listed = [e for e in self.endpoints.values() if e["status"] != "Gone"]
            body = json.dumps({"index": self.index, "snapshot": True, "endpoints": listed}).encode()
            conn.sendall(response(200, body))

    def _watch(self, conn: socket.socket, after: int) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
        conn.sendall(head)
        while True:
            with self._condition:
                changed = [self.endpoints[n] for n, at in self.changed_at.items() if at > after]
                if not changed:
                    self._condition.wait(2.0)
                    changed = [self.endpoints[n] for n, at in self.changed_at.items() if at > after]
                after = self.index
            line = b"\n"
            if changed:
                names = " ".join(entry["name"] + "=" + entry["status"] for entry in changed)
                data = {"index": after, "snapshot": False, "endpoints": changed}
                line = json.dumps(data).encode() + b"\n"
                self.record(f"discovery tells {names}")
            conn.sendall(b"%x\r\n%s\r\n" % (len(line), line))


def reset(conn: socket.socket) -> None:
    """End a connection with a reset."""
    with contextlib.suppress(OSError):
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        conn.shutdown(socket.SHUT_RD)
    with contextlib.suppress(OSError):
        conn.close()


def entry(name: str, address: str, group: int = 1, status: str = "Ready") -> dict[str, Any]:
    """Return an entry of discovery's list."""
    return {
        "name": name, "address": address, "zone": "z1", "type": "m1", "group": group, "status": status,
        "weight": 1.0, "since_ms": 0,
    }  # fmt: skip


def class_settings(
    name: str, effect: str, objective: float, deadline: float, **more: object
) -> dict[str, Any]:
    """Return the settings of a class, with all keys that the wire page lists."""
    settings: dict[str, Any] = {
        "name": name, "effect": effect, "objective-s": objective, "deadline-s": deadline, "group": "all",
        "repeat-window-s": 5.0, "importance": 2.0, "late-worth": 0.0, "streaming": False,
    }  # fmt: skip
    return settings | more


def make_settings(classes: list[dict[str, Any]], **more: object) -> dict[str, Any]:
    """Return the settings of a small deployment that asks discovery."""
    settings: dict[str, Any] = {
        "balancers": 2, "me": 0, "zone": "z1", "failure-domains": ["z1"], "kinds": ["m1"],
        "membership-mode": "on_request", "classes": classes, "counted-by": "request", "weights": "none",
        "callers": {"marks-retry": False}, "over-share-worth": 0.1, "stage": 0, "step-s": 0.005,
        "limits": {
            "cancelling": True, "connect-timeout-s": 0.25, "cpu-us-per-request": 0.0, "cpu-us-per-s": 50000,
            "keepalive-s": 30.0, "max-attempts": 5, "max-open": 20000, "max-retry-after-s": 1.2,
            "peers": False, "probes": True, "retry-after": True, "second-copies": True,
            "streams-per-conn": 1,
        },
        "safety": {
            "answer-slack-s": 0.02, "ask-within-s": 10.0, "cold-from": 0.35, "drain-grace-s": 0.25,
            "overload-for-s": 1.5, "tip-multiple": 3.0, "warm-within-s": 8.8,
        },
        "prices": {
            "connection": 0.0, "cross-zone": 0.0, "handshake": 0.0, "late-fail": 0.035, "probe": 0.01,
            "waste": 0.15,
        },
        "specifics": {"warm-keys": False}, "telemetry": {"columns": ["busy", "rate"], "how": "answers"},
        "tenants": [], "tiers": ["port-servers"],
    }  # fmt: skip
    return settings | more


class Sidecar:
    """One sidecar, started with the command ``run`` of the deploy file."""

    def __init__(
        self,
        rig: Rig,
        name: str,
        discovery: Discovery,
        known: dict[str, Any],
        settings: dict[str, Any],
        limits: tuple[int, int] = (192, 1024),
    ) -> None:
        """``limits`` are those on memory in MB and on descriptors."""
        self.name = name
        self._rig = rig
        self.config = rig.folder / f"{name}.json"
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.address: tuple[str, int] = free.getsockname()
        self.content: dict[str, Any] = {
            "name": name,
            "listen": f"127.0.0.1:{self.address[1]}",
            "discovery": discovery.address,
            "seed": secrets.token_hex(8),
            "limits": {"cores": 1.0, "memory_mb": limits[0], "sockets": limits[1]},
            "known": known,
            "settings": settings,
        }
        self.write_config(settings)
        private = rig.folder / f"tmp-{name}"
        private.mkdir()
        env = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(private),
            "BALANCER_NAME": name,
            "BALANCER_LISTEN": self.content["listen"],
            "BALANCER_DISCOVERY": discovery.address,
            "BALANCER_CONFIG": str(self.config),
        }
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        with (rig.folder / f"{name}.log").open("wb") as log, SIGNALS.held():
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
            rig.processes.append(self.process)
        rig.sidecars.append(self)
        rig.record(f"{name} is started")

    def write_config(self, settings: dict[str, Any]) -> None:
        """Replace the configuration file by one with other settings."""
        self.content["settings"] = settings
        partial = self.config.with_suffix(".new")
        partial.write_text(json.dumps(self.content))
        partial.rename(self.config)

    def wait_ready(self, limit_s: float = 20.0) -> None:
        """Wait until the health call is answered with 200."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended at its start: {self.process.returncode}")
            with contextlib.suppress(OSError, ValueError), self.connect() as conn:
                conn.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                answer = read_message(conn.makefile("rb"))
                if answer is not None and answer.status == 200:
                    self._rig.record(f"{self.name} is ready")
                    return
            time.sleep(0.02)
        raise CannotRunError(f"{self.name} is not ready")

    def connect(self, limit_s: float = 15.0) -> socket.socket:
        """Return a new client connection."""
        conn = socket.create_connection(self.address, timeout=limit_s)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn

    def memory_kb(self, field: str) -> int:
        """Return a figure of /proc/PID/status in kB, or 0 once the process has ended."""
        with contextlib.suppress(OSError, IndexError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            return int(text.partition(field + ":")[2].split()[0])
        return 0

    def watch_memory(self, limit_mb: int) -> threading.Event:
        """Kill the sidecar if it uses more memory than it may, as the platform does; return whether it has.

        The limit is read as MiB, which is the larger reading.
        """
        killed = threading.Event()

        def watch() -> None:
            peak_kb = 0
            while self.process.poll() is None:
                used_kb = self.memory_kb("VmRSS")
                if used_kb > peak_kb + 4096:
                    peak_kb = used_kb
                    self._rig.record(f"{self.name} uses {used_kb / 1024:.0f} MB of {limit_mb} MB")
                if used_kb > limit_mb * 1024:
                    killed.set()
                    self._rig.record(f"{self.name} is killed: it uses {used_kb / 1024:.1f} MB")
                    self.process.send_signal(signal.SIGKILL)
                    return
                time.sleep(0.02)

        threading.Thread(target=watch, daemon=True).start()
        return killed

    def log_text(self) -> str:
        """Return what the sidecar has logged."""
        return (self._rig.folder / f"{self.name}.log").read_text(errors="replace")


_ids = itertools.count(1)
_id_base = secrets.randbits(40) << 20


def new_id() -> str:
    """Return a new request id."""
    return f"{_id_base + next(_ids):016x}"


def request(
    cls: str, request_id: str, timeout_ms: int, body: bytes | None = None, idempotency_key: str = ""
) -> bytes:
    """Return a request in the form of the protocol page."""
    method = "GET" if body is None else "POST"
    head = (
        f"{method} /{cls}/{secrets.token_hex(8)} HTTP/1.1\r\nHost: api.internal\r\n"
        f"Request-Id: {request_id}\r\nRequest-Class: {cls}\r\nRequest-Timeout-Ms: {timeout_ms}\r\n"
    )
    if idempotency_key:
        head += f"Idempotency-Key: {idempotency_key}\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


class Rig:
    """The programs, the folder and the record of one run of a case."""

    def __init__(self, case_file: str) -> None:
        if not (ROOT / ".venv/bin/python").exists():
            raise CannotRunError("the build of the deploy file has not been run")
        self.record = Record(Path(case_file).resolve().parent / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.record("with the disruption" if TROUBLE else "without the disruption (TROUBLE=0)")
        self.sidecars: list[Sidecar] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    def close(self, result: int) -> None:
        """End all programs, then complete the record and remove the folder."""
        for process in self.processes:
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGKILL)
            process.wait()
        with contextlib.suppress(OSError):
            self.record(f"result {result}: {RESULTS[result]}")
            for sidecar in self.sidecars:
                for line in sidecar.log_text().splitlines()[-40:]:
                    self.record(f"{sidecar.name} logged: {line[:300]}")
        shutil.rmtree(self.folder, ignore_errors=True)


class Signals:
    """Turns a signal into an exception, but not while a program is being started."""

    def __init__(self) -> None:
        self._is_held = False
        self._pending = 0
        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._handle)
        signal.setitimer(signal.ITIMER_REAL, MAX_RUN_S)

    def _handle(self, number: int, _: object) -> None:
        if self._is_held:
            self._pending = number
        else:
            raise CannotRunError(f"ended by signal {number} (14: the case took too long)")

    @contextlib.contextmanager
    def held(self) -> Iterator[None]:
        """Hold signals back until the end of the block."""
        self._is_held = True
        try:
            yield
        finally:
            self._is_held = False
        if self._pending:
            self._handle(self._pending, None)

    @staticmethod
    def ignore() -> None:
        """Ignore signals from now on."""
        for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)


SIGNALS = Signals()


def run_case(case_file: str, case: Callable[[Rig], int]) -> None:
    """Run a case and exit with its result: 0 if the rule held, 1 if it was broken, 2 if it could not run."""
    rig: Rig | None = None
    result = NOT_RUN
    try:
        with SIGNALS.held():
            rig = Rig(case_file)
        result = case(rig)
    finally:  # an exception ends here too: what went wrong in the test says nothing about the rule
        SIGNALS.ignore()
        error = sys.exc_info()[1]
        if error is not None:
            print(f"{type(error).__name__}: {error}", file=sys.stderr)
        if rig is not None:
            rig.close(result)
        print(RESULTS[result], flush=True)
        os._exit(result)
