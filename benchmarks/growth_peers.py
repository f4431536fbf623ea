"""The stand-ins of the growth benchmark: a fleet of upstreams, and the discovery that lists it.

One process holds both. Each upstream has a listener of its own on a loopback address, a number of slots and
a waiting room as large; a request beyond them is rejected unseen. Where CAPACITY is positive, an upstream
also takes no more than its part of so many requests a second, as one does that serves other sidecars too.

``python -m benchmarks.growth_peers COUNT SPARE SLOTS CAPACITY`` serves until its standard input ends. It says
the port of discovery and the whole list as one line of JSON; a line ``replace NUMBER`` replaces as many
upstreams, and ``count`` prints what was counted.
"""

from __future__ import annotations

import asyncio
import json
import math
import socket
import sys
import time
from collections import deque
from dataclasses import asdict, dataclass
from random import Random
from typing import Any, cast

import uvloop

LONGEST_LIFE = 600.0  # s, after which the process ends by itself
SERVICE_LEAST, SERVICE_MEAN = 0.02, 0.015  # s of a request's service, and of what is drawn on top of it
HANDSHAKE = 0.005  # s that the first request of a connection takes longer
BUSY_MEMORY = 1.0  # s over which the reported utilisation and rate are averaged
EMPTY_LINE_EVERY = 2.0  # s between the empty lines of a watch on which nothing changes
DRAIN_TIME = 1.0  # s from the notice of a drain to the end of the upstream
DRAIN_GRACE = 0.25 + 0.05  # s after the notice in which requests may still come: the setting and its slack
LAG_LOOK = 0.05  # s between two looks at the loop's own lag
ZONES = 3
CELL_SIZE = 10
BURST_TIME, BURST_LEAST = 1.0, 2.0  # s of its part that an upstream takes at once, and the least requests
BODY = b"done"


@dataclass(slots=True)
class FrequencyCounter:
    """What the stand-ins saw of the sidecar."""

    connections: int = 0
    requests: int = 0
    rejected: int = 0
    after_drain: int = 0  # requests whose first byte came after the drain's grace
    upstreams_used: int = 0
    list_bytes: int = 0
    list_calls: int = 0
    most_lag: float = 0.0  # s that the stand-ins' own loop was late: they are then no measure of the sidecar


class Upstream:
    """One upstream: its listener, its slots and its waiting room."""

    def __init__(
        self, number: int, slots: int, capacity: float, counts: FrequencyCounter, random: Random
    ) -> None:
        """``capacity``: requests a second that it takes; 0: as its slots allow."""
        self.slots, self.counts, self.random = slots, counts, random
        self._capacity, self._burst = capacity, max(capacity * BURST_TIME, BURST_LEAST)
        self._tokens, self._refilled = self._burst, time.monotonic()
        self.drained_at = math.inf  # monotonic s of the notice
        self.connections: set[UpstreamConnection] = set()
        self._waiting: deque[UpstreamConnection] = deque()
        self._serving, self._used = 0, False
        self._busy, self._rate, self._seen = 0.0, 0.0, time.monotonic()
        self._server: asyncio.Server | None = None
        self._socket = socket.socket()
        self._socket.bind((f"127.30.{number >> 8}.{number & 255}", 0))
        self._socket.listen(128)
        host, port = self._socket.getsockname()
        self.entry: dict[str, Any] = {
            "name": f"s-{number * 2654435761 & 0xFFFFFFFF:08x}",
            "address": f"{host}:{port}",
            "zone": f"z{number % ZONES}",
            "type": "m",
            "group": number // CELL_SIZE,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }

    async def serve(self) -> None:
        """Accept connections from now on."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: UpstreamConnection(self), sock=self._socket)

    def take(self, connection: UpstreamConnection, began: float) -> None:
        """A whole request has come, whose first byte came at ``began``."""
        self.counts.requests += 1
        self.counts.upstreams_used += not self._used
        self._used = True
        self.counts.after_drain += began > self.drained_at + DRAIN_GRACE
        self._rate = self._decayed(self._rate) + 1.0 / BUSY_MEMORY
        full = self._serving + len(self._waiting) >= 2 * self.slots
        if self.drained_at < math.inf or full or not self._within_capacity():
            self.counts.rejected += 1
            connection.answer(b"503 Service Unavailable", b"Not-Started: 1\r\n" + self._report(), b"")
        elif self._serving >= self.slots:
            self._waiting.append(connection)
        else:
            self._start(connection)

    def leave(self, connection: UpstreamConnection) -> None:
        """A connection has ended; what waits on it is not begun."""
        self.connections.discard(connection)
        if connection in self._waiting:
            self._waiting.remove(connection)

    def end(self) -> None:
        """End as a process does: refuse new connections, break those that are open."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def _within_capacity(self) -> bool:
        if not self._capacity:
            return True
        now = time.monotonic()
        self._tokens = min(self._tokens + self._capacity * (now - self._refilled), self._burst)
        self._refilled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _start(self, connection: UpstreamConnection) -> None:
        self._serving += 1
        service = SERVICE_LEAST + self.random.expovariate(1.0 / SERVICE_MEAN) + connection.handshake()
        asyncio.get_running_loop().call_later(service, self._served, connection, service)

    def _served(self, connection: UpstreamConnection, service: float) -> None:
        self._serving -= 1
        self._busy = self._decayed(self._busy) + service / self.slots / BUSY_MEMORY
        connection.answer(b"200 OK", self._report(), BODY)
        if self._waiting:
            self._start(self._waiting.popleft())

    def _decayed(self, figure: float) -> float:
        """A figure as it is by now; both fade at the same pace."""
        now = time.monotonic()
        part = math.exp((self._seen - now) / BUSY_MEMORY)
        self._busy, self._rate, self._seen = self._busy * part, self._rate * part, now
        return figure * part

    def _report(self) -> bytes:
        self._decayed(0.0)
        spent = 1.0 - self._tokens / self._burst if self._capacity else 0.0
        return b"Server-Load: util=%.2f,qps=%.1f\r\n" % (min(max(self._busy, spent), 1.0), self._rate)


class UpstreamConnection(asyncio.Protocol):
    """One connection to an upstream, which carries one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream, self._data, self._began, self._fresh = upstream, b"", 0.0, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._upstream.counts.connections += 1
        self._upstream.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._upstream.leave(self)

    def data_received(self, data: bytes) -> None:
        if not self._data:
            self._began = time.monotonic()
        self._data += data
        head, end, body = self._data.partition(b"\r\n\r\n")
        if end and len(body) >= content_length(head):
            self._data = b""
            self._upstream.take(self, self._began)

    def handshake(self) -> float:
        """Seconds that the next request takes longer than on a connection that was used before."""
        extra = HANDSHAKE if self._fresh else 0.0
        self._fresh = False
        return extra

    def answer(self, status: bytes, headers: bytes, body: bytes) -> None:
        if not self._transport.is_closing():
            head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), headers)
            self._transport.write(head + body)

    def abort(self) -> None:
        self._transport.abort()


def content_length(head: bytes) -> int:
    """The length of the body that a head announces; 0 where it announces none."""
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class Fleet:
    """The upstreams in service, the spare ones, and what discovery tells of them."""

    def __init__(self, count: int, spare: int, slots: int, capacity: float) -> None:
        self.counts, random = FrequencyCounter(), Random(count)
        part = capacity / count
        upstreams = [Upstream(number, slots, part, self.counts, random) for number in range(count + spare)]
        self._in_service, self._spare = deque(upstreams[:count]), deque(upstreams[count:])
        self.index = 1
        self._entries = {upstream.entry["name"]: upstream.entry for upstream in self._in_service}
        self._changed_at: dict[str, int] = {}  # index of each entry's last change
        self._watches: set[asyncio.StreamWriter] = set()

    async def serve(self) -> int:
        """Start all; the port of discovery."""
        for upstream in (*self._in_service, *self._spare):
            await upstream.serve()
        server = await asyncio.start_server(self._call, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def whole(self) -> dict[str, Any]:
        """The whole list, as discovery tells it; what is gone is not in it."""
        present = [entry for entry in self._entries.values() if entry["status"] != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": present}

    def replace(self, number: int) -> None:
        """Drain the upstreams that serve longest, and list as many new ones."""
        now = time.time()
        old = [self._in_service.popleft() for _ in range(number)]
        new = [self._spare.popleft() for _ in range(number)]
        self._in_service.extend(new)
        for upstream in old:
            upstream.entry["status"] = "Terminating"
            upstream.drained_at = time.monotonic()
        for upstream in new:
            upstream.entry["since_ms"] = round(now * 1000.0)
        self._tell(*old, *new)
        asyncio.get_running_loop().call_later(DRAIN_TIME, self._remove, old)

    def _remove(self, upstreams: list[Upstream]) -> None:
        for upstream in upstreams:
            upstream.entry["status"] = "Gone"
            upstream.end()
        self._tell(*upstreams)

    def _tell(self, *upstreams: Upstream) -> None:
        self.index += 1
        for upstream in upstreams:
            name = upstream.entry["name"]
            self._entries[name], self._changed_at[name] = upstream.entry, self.index
        line = self._line(self._changes(self.index - 1))
        for writer in self._watches:
            self._write(writer, line)

    def _changes(self, after: int) -> dict[str, Any]:
        changed = [self._entries[name] for name, index in self._changed_at.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def _call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
        self.counts.list_calls += 1
        if b"watch=1" not in target:
            body = self._line(self.whole())
            self._write(
                writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body, chunk=False
            )
            writer.close()
            return
        self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk=False)
        after = int(target.rpartition(b"after=")[2])
        if after != self.index:
            self._write(writer, self._line(self._changes(after) if after else self.whole()))
        self._watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_EVERY)
                self._write(writer, b"\n")
        finally:
            self._watches.discard(writer)

    @staticmethod
    def _line(message: dict[str, Any]) -> bytes:
        return json.dumps(message, separators=(",", ":")).encode() + b"\n"

    def _write(self, writer: asyncio.StreamWriter, *pieces: bytes, chunk: bool = True) -> None:
        for piece in pieces:
            data = b"%x\r\n%s\r\n" % (len(piece), piece) if chunk else piece
            self.counts.list_bytes += len(data)
            writer.write(data)


async def watch_lag(counts: FrequencyCounter) -> None:
    """Note the most that this process' loop is late, until cancelled."""
    while True:
        due = time.monotonic() + LAG_LOOK
        await asyncio.sleep(LAG_LOOK)
        counts.most_lag = max(counts.most_lag, time.monotonic() - due)


async def play(count: int, spare: int, slots: int, capacity: float) -> None:
    """Serve, and carry out what standard input says, until it ends."""
    fleet = Fleet(count, spare, slots, capacity)
    port = await fleet.serve()
    print(json.dumps({"discovery": port, "list": fleet.whole()}), flush=True)
    effects = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    watching = loop.create_task(watch_lag(fleet.counts))
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(effects), sys.stdin)
    async with asyncio.timeout(LONGEST_LIFE):
        while order := await effects.readline():
            match order.split():
                case [b"replace", number]:
                    fleet.replace(int(number))
                case [b"count"]:
                    print(json.dumps(asdict(fleet.counts)), flush=True)
                case _:
                    raise SystemExit(f"no such order: {order!r}")
    watching.cancel()


def main() -> None:
    count, spare, slots, capacity = sys.argv[1:]
    uvloop.run(play(int(count), int(spare), int(slots), float(capacity)))


if __name__ == "__main__":
    main()
