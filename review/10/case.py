"""One spoilt answer that never ends, to a probe."""

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
BLOCK = b"10000\r\n" + b"0" * 0x10000 + b"\r\n"  # a chunk of 64 KiB
SPOILT_S = 20.0  # the port server ends its answer then, if nobody else has
SERVERS = 9


class MapServer(PortServer):
    """A port server that reports its load when it is probed, and may spoil the answer to one probe."""

    def __init__(self, name: str, run: Rig) -> None:
        self.spoils_next = False
        super().__init__(name, run.record, answer)

    def probe(self, conn: socket.socket) -> bool:
        """Answer a probe, once perhaps without end."""
        if not self.spoils_next:
            conn.sendall(rig.response(200, b"inflight=1,util=0.2,latency_ms=60,qps=10"))
            return True
        self.spoils_next = False
        self.record(f"{self.name} answers a probe without end")
        sent = 0
        end = time.monotonic() + SPOILT_S
        with contextlib.suppress(OSError):
            conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while time.monotonic() < end:
                conn.sendall(BLOCK)
                sent += len(BLOCK)
        self.record(f"the answer of {self.name} is broken off after {sent / 1e6:.0f} MB")
        return False


def answer(server: PortServer, message: Message, conn: socket.socket) -> bool:
    """Serve a request."""
    del server, message
    time.sleep(0.06)
    conn.sendall(rig.response(200, b"flipped"))
    return True


class Clients:
    """Clients that flip statuses, and what they saw."""

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
        while not self.stop.wait(0.15):
            request_id = rig.new_id()
            got = None
            with contextlib.suppress(OSError), self._sidecar.connect() as conn:
                conn.sendall(rig.request("status-flip", request_id, 2000, b"lift 7"))
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
    """Let the answer to one probe be spoilt, and kill the sidecar if it uses more memory than it may."""
    servers = [MapServer(f"s-{n}", run) for n in range(SERVERS)]
    entries = [rig.entry(s.name, s.address, 1 + n // 4) for n, s in enumerate(servers)]
    agent = rig.Discovery(run.record, entries)
    known = {"index": 41, "snapshot": True, "endpoints": copy.deepcopy(entries)}
    settings = rig.make_settings(
        [
            rig.class_settings("status-flip", "unsafe", 0.5, 2.5),
            rig.class_settings(
                "pack-order", "keyed", 1.0, 2.0, **{"repeat-window-s": 4.0, "importance": 5.0}
            ),
        ]
    )
    settings["membership-mode"] = "pushed"
    settings["telemetry"] = {"columns": ["rif", "busy", "lat_ms", "rate"], "how": "probe"}
    settings["prices"]["probe"] = 0.0018
    sidecar = rig.Sidecar(run, "n0", agent, known, settings)
    sidecar.wait_ready()
    killed = sidecar.watch_memory(MEMORY_MB)
    clients = Clients(run, sidecar)
    time.sleep(5.0)
    servers[0].spoils_next = rig.TROUBLE
    killed.wait(15.0)
    time.sleep(0.5)
    clients.end()
    run.record(f"clients saw {clients.served} served, {clients.lost} without an answer")
    if killed.is_set():
        return rig.BROKEN
    if sidecar.process.poll() is not None or not clients.served or servers[0].spoils_next:
        raise rig.CannotRunError("the sidecar ended, served nothing, or sent no probe")
    return rig.HELD


rig.run_case(__file__, case)
