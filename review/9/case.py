"""One spoilt answer that never ends: a chunked answer whose trailer section goes on and on."""

from __future__ import annotations

import contextlib
import copy
import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "peers2"))

import rig
from rig import Message, PortServer, Rig

MEMORY_MB = 192
SPOILT_S = 20.0  # the port server ends its answer then, if nobody else has
FIELDS = 1024  # trailer fields in one write


class Fleet:
    """Port servers that serve every request, and spoil the answer to one."""

    def __init__(self, run: Rig) -> None:
        self.spoilt_id = ""
        self.servers = [PortServer(f"s-{n}", run.record, self.answer) for n in range(15)]

    def answer(self, server: PortServer, message: Message, conn: socket.socket) -> bool:
        """Serve a request, or begin an answer that never ends."""
        time.sleep(0.1)
        if rig.TROUBLE and message.id == self.spoilt_id:
            server.record(f"{server.name} answers id={message.id} without end")
            with contextlib.suppress(OSError):
                self._spoil(conn)
            server.record(f"the answer of {server.name} is broken off")
            return False
        conn.sendall(rig.response(200, b"sold", "Server-Load: queue=1,latency_ms=100\r\n"))
        return True

    @staticmethod
    def _spoil(conn: socket.socket) -> None:
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nsold\r\n0\r\n")
        end = time.monotonic() + SPOILT_S
        first = 0
        while time.monotonic() < end:
            conn.sendall(b"".join(b"x-%x: 1\r\n" % number for number in range(first, first + FIELDS)))
            first += FIELDS


class Clients:
    """Clients that send card sales, and what they saw."""

    def __init__(self, run: Rig, sidecar: rig.Sidecar) -> None:
        self.lost = 0
        self.served = 0
        self.stop = threading.Event()
        self._record = run.record
        self._sidecar = sidecar
        self._threads = [threading.Thread(target=self._send, daemon=True) for _ in range(4)]
        for thread in self._threads:
            thread.start()

    def _send(self) -> None:
        while not self.stop.wait(0.2):
            self.ask(rig.new_id())

    def ask(self, request_id: str) -> None:
        """Send one request and read its answer."""
        got = None
        with contextlib.suppress(OSError), self._sidecar.connect() as conn:
            conn.sendall(rig.request("card-sale", request_id, 3000, b"one card"))
            got = rig.read_message(conn.makefile("rb"))
        self._record(f"client has the answer to id={request_id}: {got.line if got else 'none'}")
        if got is None:
            self.lost += 1
        elif got.status == 200:
            self.served += 1

    def end(self) -> None:
        """Stop all."""
        self.stop.set()
        for thread in self._threads:
            thread.join(5.0)


def case(run: Rig) -> int:
    """Let one answer be spoilt, and kill the sidecar if it uses more memory than it may."""
    fleet = Fleet(run)
    entries = [rig.entry(s.name, s.address, 1 + n // 4) for n, s in enumerate(fleet.servers)]
    discovery = rig.Discovery(run.record, entries)
    known = {"index": 41, "snapshot": True, "endpoints": copy.deepcopy(entries)}
    settings = rig.make_settings(
        [
            rig.class_settings("plant-lookup", "safe", 2.5, 6.0, **{"late-worth": 0.2}),
            rig.class_settings("card-sale", "unsafe", 2.5, 6.0, **{"late-worth": 0.25}),
        ]
    )
    settings["telemetry"] = {"columns": ["q", "lat_ms"], "how": "answers"}
    sidecar = rig.Sidecar(run, "n0", discovery, known, settings)
    sidecar.wait_ready()
    killed = sidecar.watch_memory(MEMORY_MB)
    clients = Clients(run, sidecar)
    time.sleep(5.0)
    fleet.spoilt_id = rig.new_id()
    clients.ask(fleet.spoilt_id)
    time.sleep(3.0)
    clients.end()
    run.record(f"clients saw {clients.served} served, {clients.lost} without an answer")
    if killed.is_set():
        return rig.BROKEN
    if sidecar.process.poll() is not None or not clients.served:
        raise rig.CannotRunError("the sidecar ended, or served nothing")
    return rig.HELD


rig.run_case(__file__, case)
