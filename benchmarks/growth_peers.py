"""The peers of the growth benchmark: simulated upstreams, and a discovery service that lists them.

One process runs all of them. Each upstream has its own listener on a loopback address, a number of slots and
a queue as long as the slots are many; it rejects a request beyond them without starting it. If CAPACITY is
positive, all upstreams together accept so many requests per second, and each rejects what exceeds its share,
as does an upstream that serves other sidecars too.

``python -m benchmarks.growth_peers COUNT SPARE SLOTS CAPACITY`` serves until its standard input ends. It
prints the port of discovery and the whole endpoint list as one line of JSON. Each line of its input is a
command: ``replace NUMBER`` replaces that many upstreams, and ``count`` prints the counts.
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

MAX_LIFETIME_S = 600.0  # then the process ends, even if its standard input has not
MIN_SERVICE_S, MEAN_EXTRA_SERVICE_S = 0.02, 0.015  # the latter: mean of an exponential draw
HANDSHAKE_S = 0.005  # more for the first request of a connection
LOAD_AVERAGING_S = 1.0  # time constant of the reported utilisation and rate
EMPTY_LINE_INTERVAL_S = 2.0  # between two empty lines that keep a watch alive while nothing changes
DRAIN_S = 1.0  # between the update that marks an upstream as draining and its end
DRAIN_GRACE_S = 0.25 + 0.05  # after that update, in which requests may still arrive: the setting plus slack
LAG_SAMPLE_INTERVAL_S = 0.05  # of the event loop's lag
ZONES = 3
REPLICA_GROUP_SIZE = 10
BURST_S, MIN_BURST = 1.0, 2.0  # of the token bucket: the capacity over this time, at least so many requests
BODY = b"done"


@dataclass(slots=True)
class PeerCounts:
    """What the peers counted of the sidecar's traffic."""

    connections: int = 0
    requests: int = 0
    rejected: int = 0
    after_drain: int = 0  # requests whose first byte arrived after the drain grace
    upstreams_used: int = 0
    list_bytes: int = 0
    list_calls: int = 0
    most_lag: float = 0.0  # s, of the peers' event loop; a large one makes the sidecar's figures useless


class Upstream:
    """A simulated upstream with its listener, its slots and its queue."""

    def __init__(self, number: int, slots: int, capacity: float, counts: PeerCounts, random: Random) -> None:
        """``capacity`` is the accepted rate in requests per second; 0: limited by the slots alone."""
        self.slots, self.counts, self.random = slots, counts, random
        self._capacity, self._burst = capacity, max(capacity * BURST_S, MIN_BURST)
        self._tokens, self._refilled = self._burst, time.monotonic()
        self.draining_since = math.inf  # monotonic time of the update that marks it as draining
        self.connections: set[UpstreamConnection] = set()
        self._queue: deque[UpstreamConnection] = deque()
        self._in_progress, self._used = 0, False
        self._utilisation, self._rate, self._decayed_at = 0.0, 0.0, time.monotonic()
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
            "group": number // REPLICA_GROUP_SIZE,
            "status": "Ready",
            "weight": 1.0,
            "since_ms": 0,
        }

    async def serve(self) -> None:
        """Start to accept connections."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: UpstreamConnection(self), sock=self._socket)

    def handle_request(self, connection: UpstreamConnection, first_byte_at: float) -> None:
        """Start, queue or reject a complete request, whose first byte arrived at ``first_byte_at``."""
        self.counts.requests += 1
        self.counts.upstreams_used += not self._used
        self._used = True
        self.counts.after_drain += first_byte_at > self.draining_since + DRAIN_GRACE_S
        self._rate = self._decay(self._rate) + 1.0 / LOAD_AVERAGING_S
        full = self._in_progress + len(self._queue) >= 2 * self.slots
        if self.draining_since < math.inf or full or not self._take_token():
            self.counts.rejected += 1
            connection.respond(b"503 Service Unavailable", b"Not-Started: 1\r\n" + self._load_report(), b"")
        elif self._in_progress >= self.slots:
            self._queue.append(connection)
        else:
            self._start_service(connection)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a connection that has ended, and its request from the queue."""
        self.connections.discard(connection)
        if connection in self._queue:
            self._queue.remove(connection)

    def stop(self) -> None:
        """Stop as a process that ends: refuse new connections and abort those that are open."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()

    def _take_token(self) -> bool:
        if not self._capacity:
            return True
        now = time.monotonic()
        self._tokens = min(self._tokens + self._capacity * (now - self._refilled), self._burst)
        self._refilled = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _start_service(self, connection: UpstreamConnection) -> None:
        self._in_progress += 1
        service = (
            MIN_SERVICE_S + self.random.expovariate(1.0 / MEAN_EXTRA_SERVICE_S) + connection.handshake_s()
        )
        asyncio.get_running_loop().call_later(service, self._finish_service, connection, service)

    def _finish_service(self, connection: UpstreamConnection, service: float) -> None:
        self._in_progress -= 1
        self._utilisation = self._decay(self._utilisation) + service / self.slots / LOAD_AVERAGING_S
        connection.respond(b"200 OK", self._load_report(), BODY)
        if self._queue:
            self._start_service(self._queue.popleft())

    def _decay(self, average: float) -> float:
        """Decay both averages until now, and return ``average`` decayed by as much."""
        now = time.monotonic()
        ratio = math.exp((self._decayed_at - now) / LOAD_AVERAGING_S)
        self._utilisation, self._rate, self._decayed_at = self._utilisation * ratio, self._rate * ratio, now
        return average * ratio

    def _load_report(self) -> bytes:
        self._decay(0.0)
        used_burst = 1.0 - self._tokens / self._burst if self._capacity else 0.0
        return b"Server-Load: util=%.2f,qps=%.1f\r\n" % (
            min(max(self._utilisation, used_burst), 1.0),
            self._rate,
        )


class UpstreamConnection(asyncio.Protocol):
    """A connection to a simulated upstream, with one request at a time."""

    def __init__(self, upstream: Upstream) -> None:
        self._upstream, self._received, self._first_byte_at, self._is_new = upstream, b"", 0.0, True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._upstream.counts.connections += 1
        self._upstream.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._upstream.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        if not self._received:
            self._first_byte_at = time.monotonic()
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if end and len(body) >= content_length(head):
            self._received = b""
            self._upstream.handle_request(self, self._first_byte_at)

    def handshake_s(self) -> float:
        """Return how many seconds longer the next request takes than on a connection used before."""
        extra = HANDSHAKE_S if self._is_new else 0.0
        self._is_new = False
        return extra

    def respond(self, status: bytes, headers: bytes, body: bytes) -> None:
        if not self._transport.is_closing():
            head = b"HTTP/1.1 %s\r\nContent-Length: %d\r\n%s\r\n" % (status, len(body), headers)
            self._transport.write(head + body)

    def abort(self) -> None:
        self._transport.abort()


def content_length(head: bytes) -> int:
    """Return the Content-Length of a message head, or 0 if it has none."""
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class Fleet:
    """The upstreams in service, the spare ones, and the discovery service that lists them."""

    def __init__(self, count: int, spare: int, slots: int, capacity: float) -> None:
        self.counts, random = PeerCounts(), Random(count)
        capacity_each = capacity / count
        upstreams = [
            Upstream(number, slots, capacity_each, self.counts, random) for number in range(count + spare)
        ]
        self._in_service, self._spare = deque(upstreams[:count]), deque(upstreams[count:])
        self.index = 1
        self._entries = {upstream.entry["name"]: upstream.entry for upstream in self._in_service}
        self._changed_at: dict[str, int] = {}  # the index of the last change of each endpoint
        self._watches: set[asyncio.StreamWriter] = set()

    async def serve(self) -> int:
        """Start all upstreams and discovery. Return the port of discovery."""
        for upstream in (*self._in_service, *self._spare):
            await upstream.serve()
        server = await asyncio.start_server(self._handle_call, "127.0.0.1", 0)
        return int(server.sockets[0].getsockname()[1])

    def snapshot(self) -> dict[str, Any]:
        """Return the snapshot that discovery sends; it leaves out the endpoints that are gone."""
        present = [entry for entry in self._entries.values() if entry["status"] != "Gone"]
        return {"index": self.index, "snapshot": True, "endpoints": present}

    def replace(self, number: int) -> None:
        """Drain the upstreams that have served longest, and add as many new ones."""
        now = time.time()
        old = [self._in_service.popleft() for _ in range(number)]
        new = [self._spare.popleft() for _ in range(number)]
        self._in_service.extend(new)
        for upstream in old:
            upstream.entry["status"] = "Terminating"
            upstream.draining_since = time.monotonic()
        for upstream in new:
            upstream.entry["since_ms"] = round(now * 1000.0)
        self._publish(*old, *new)
        asyncio.get_running_loop().call_later(DRAIN_S, self._remove, old)

    def _remove(self, upstreams: list[Upstream]) -> None:
        for upstream in upstreams:
            upstream.entry["status"] = "Gone"
            upstream.stop()
        self._publish(*upstreams)

    def _publish(self, *upstreams: Upstream) -> None:
        self.index += 1
        for upstream in upstreams:
            name = upstream.entry["name"]
            self._entries[name], self._changed_at[name] = upstream.entry, self.index
        line = self._encode(self._update(self.index - 1))
        for writer in self._watches:
            self._write(writer, line)

    def _update(self, after: int) -> dict[str, Any]:
        changed = [self._entries[name] for name, index in self._changed_at.items() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def _handle_call(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        target = (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]
        self.counts.list_calls += 1
        if b"watch=1" not in target:
            body = self._encode(self.snapshot())
            self._write(
                writer, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body, chunk=False
            )
            writer.close()
            return
        self._write(writer, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk=False)
        after = int(target.rpartition(b"after=")[2])
        if after != self.index:
            self._write(writer, self._encode(self._update(after) if after else self.snapshot()))
        self._watches.add(writer)
        try:
            while not writer.is_closing():
                await asyncio.sleep(EMPTY_LINE_INTERVAL_S)
                self._write(writer, b"\n")
        finally:
            self._watches.discard(writer)

    @staticmethod
    def _encode(message: dict[str, Any]) -> bytes:
        return json.dumps(message, separators=(",", ":")).encode() + b"\n"

    def _write(self, writer: asyncio.StreamWriter, *pieces: bytes, chunk: bool = True) -> None:
        for piece in pieces:
            data = b"%x\r\n%s\r\n" % (len(piece), piece) if chunk else piece
            self.counts.list_bytes += len(data)
            writer.write(data)


async def watch_lag(counts: PeerCounts) -> None:
    """Record the most lag of this process' event loop, until cancelled."""
    while True:
        due = time.monotonic() + LAG_SAMPLE_INTERVAL_S
        await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
        counts.most_lag = max(counts.most_lag, time.monotonic() - due)


async def run_fleet(count: int, spare: int, slots: int, capacity: float) -> None:
    """Serve, and execute the commands from standard input, until it ends."""
    fleet = Fleet(count, spare, slots, capacity)
    port = await fleet.serve()
    print(json.dumps({"discovery": port, "list": fleet.snapshot()}), flush=True)
    commands = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    lag_watch = loop.create_task(watch_lag(fleet.counts))
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(commands), sys.stdin)
    async with asyncio.timeout(MAX_LIFETIME_S):
        while command := await commands.readline():
            match command.split():
                case [b"replace", number]:
                    fleet.replace(int(number))
                case [b"count"]:
                    print(json.dumps(asdict(fleet.counts)), flush=True)
                case _:
                    raise SystemExit(f"unknown command: {command!r}")
    lag_watch.cancel()


def main() -> None:
    count, spare, slots, capacity = sys.argv[1:]
    uvloop.run(run_fleet(int(count), int(spare), int(slots), float(capacity)))


if __name__ == "__main__":
    main()
