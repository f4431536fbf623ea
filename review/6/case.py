"""Long requests while a third of the connections to port servers come up late."""

from __future__ import annotations

import contextlib
import copy
import os
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "peers2"))

import rig
from rig import Message, PortServer, Rig

PLAY_S = 45.0
CLIENTS = 8
LONG_EVERY = 2  # one of so many requests is long
LONG_BYTES = 200_000  # "up to 32 MB"
TIME_MS = 1200  # a client's time for a request
LOST_AFTER_S = 0.5  # after its time; "later, or never, it is lost"
PATIENCE_S = 4.0  # how much longer the clients here wait, to tell late from never
IDLE_S = 0.15  # until a port server closes an idle connection: "idle ones are closed early"
LATE_S = 1.0  # how late connections come up at the most


class LateServer(PortServer):
    """A port server to which connections come up late in every other second: by up to 1 s.

    Its accept queue of one place is full then, so the system drops the first packet of a new connection, and
    takes the one that the other side's system sends a second later.
    """

    def __init__(self, name: str, run: Rig, first_late_at: float) -> None:
        super().__init__(name, run.record, answer)
        self._first_late_at = first_late_at

    def listen(self) -> socket.socket:
        """Return a listener with an accept queue of one place."""
        return socket.create_server(("127.0.0.1", 0), backlog=0)

    def accept_all(self, listener: socket.socket) -> None:
        """Accept in every other second."""
        while not hasattr(self, "_first_late_at"):
            time.sleep(0.001)
        listener.settimeout(0.02)
        while True:
            phase = (time.monotonic() - self._first_late_at) % (2.0 * LATE_S)
            if rig.TROUBLE and phase < LATE_S:
                fillers = [self._fill(listener) for _ in range(3)]
                time.sleep(max(LATE_S - phase, 0.0))
                for filler in fillers:
                    filler.close()
            with contextlib.suppress(TimeoutError):
                self.accepted(listener.accept()[0])

    @staticmethod
    def _fill(listener: socket.socket) -> socket.socket:
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(listener.getsockname())
        return filler


def answer(server: PortServer, message: Message, conn: socket.socket) -> bool:
    """Serve a request."""
    del server
    time.sleep(0.05)
    conn.sendall(rig.response(200, b"done " + message.id.encode(), "Server-Load: util=0.3,qps=10\r\n"))
    conn.settimeout(IDLE_S)
    return True


class Clients:
    """Clients that send one request at a time, on connections that they keep."""

    def __init__(self, run: Rig, sidecars: list[rig.Sidecar]) -> None:
        self.never_answered: list[str] = []
        self.answered = 0
        self._run = run
        self._sidecars = sidecars
        self._end = time.monotonic() + PLAY_S
        self._threads = [threading.Thread(target=self._play, args=(n,)) for n in range(CLIENTS)]
        for thread in self._threads:
            thread.start()

    def _play(self, number: int) -> None:
        sidecar = self._sidecars[number % len(self._sidecars)]
        sent = number
        while time.monotonic() < self._end:
            with contextlib.suppress(OSError), sidecar.connect() as conn:
                file = conn.makefile("rb")
                while time.monotonic() < self._end:
                    sent += 1
                    body = os.urandom(LONG_BYTES) if sent % LONG_EVERY == 0 else b"port 4711"
                    if not self._ask(f"client {number}", sidecar, conn, file, body):
                        break
                    time.sleep(0.1)

    def _ask(self, name: str, sidecar: rig.Sidecar, conn: socket.socket, file: object, body: bytes) -> bool:
        """Send a request and wait for its answer; return whether the connection stays open."""
        request_id = rig.new_id()
        conn.settimeout(TIME_MS / 1000.0 + LOST_AFTER_S + PATIENCE_S)
        conn.sendall(rig.request("route-update", request_id, TIME_MS, body))
        sent_at = time.monotonic()
        self._run.record(f"{name} has sent id={request_id} of {len(body)} bytes")
        try:
            got = rig.read_message(file)  # type: ignore[arg-type]
        except TimeoutError:
            open_s = time.monotonic() - sent_at
            self._run.record(
                f"{name} has NO ANSWER to id={request_id} after {open_s:.2f} s; the connection is open, "
                f"{sidecar.name} runs: {sidecar.process.poll() is None}"
            )
            self.never_answered.append(request_id)
            return False
        after_s = time.monotonic() - sent_at
        if got is None:
            self._run.record(f"{name} finds its connection closed, id={request_id}")
            return False
        self.answered += 1
        self._run.record(f"{name} has the answer to id={request_id} after {after_s:.3f} s: {got.line}")
        return got.headers.get("connection", "").lower() != "close"

    def join(self) -> None:
        """Wait for all clients."""
        for thread in self._threads:
            thread.join()


def case(run: Rig) -> int:
    """Count the requests that are never answered."""
    begin = time.monotonic()
    servers = [PortServer("s-0", run.record, answer), PortServer("s-1", run.record, answer)]
    servers += [LateServer(f"s-{n}", run, begin + LATE_S * (n % 2)) for n in range(2, 6)]
    entries = [rig.entry(s.name, s.address) for s in servers]
    discovery = rig.Discovery(run.record, entries)
    known = {"index": 41, "snapshot": True, "endpoints": copy.deepcopy(entries)}
    settings = rig.make_settings(
        [
            rig.class_settings("route-update", "unsafe", 0.6, 1.2),
            rig.class_settings("port-request", "keyed", 0.6, 2.5, group="cell", importance=10.0),
        ]
    )
    sidecars = [rig.Sidecar(run, f"n{n}", discovery, known, settings) for n in range(2)]
    for sidecar in sidecars:
        sidecar.wait_ready()
    clients = Clients(run, sidecars)
    clients.join()
    began = {message.id for server in servers for message in server.received}
    for request_id in clients.never_answered:
        run.record(f"id={request_id} was never answered; a port server began it: {request_id in began}")
    run.record(f"{clients.answered} requests were answered, {len(clients.never_answered)} never")
    if any(sidecar.process.poll() is not None for sidecar in sidecars) or not clients.answered:
        raise rig.CannotRunError("a sidecar ended, or answered nothing")
    return rig.BROKEN if clients.never_answered else rig.HELD


rig.run_case(__file__, case)
