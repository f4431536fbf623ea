"""The peers of the benchmarks: minimal upstreams, clients and discovery, a plain relay and an aiohttp proxy.

Each runs in a process of its own, started by ``python -m benchmarks.peers ROLE ARGS``. Servers listen on
127.0.0.1 and print their port; clients print their results as JSON.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from collections.abc import Callable
from random import Random
from typing import Any, cast

import uvloop

_LIFETIME_S = 3600  # of a server that is not killed earlier
_WATCH_INTERVAL_S = 2.0  # between two empty lines that discovery sends on a watch
_LATENCY_OBJECTIVE_S = 0.6
_ORDER_RATIO = 0.37  # of the requests of a flood; the others are of class "view"
_MAX_SLEEP_S = 0.002  # at a time, while a flood waits for its next arrival
_REQUESTS_PER_PAUSE = 20  # sent in a row before the event loop handles responses
_DRAIN_S = 1.5  # for the responses to the last requests of a flood

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nServer-Load: util=0.30,qps=100\r\n\r\ndone"


class Upstream(asyncio.Protocol):
    """An upstream that sends the same response for each empty line, which ends a request's head."""

    def __init__(self, closing: bool = False) -> None:
        self._closing = closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (asyncio.Protocol)."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Respond to each request (asyncio.Protocol)."""
        requests = data.count(b"\r\n\r\n")
        if requests:
            self._transport.write(RESPONSE * requests)
            if self._closing:
                self._transport.close()


UpstreamPeer = Upstream  # the name that benchmarks.accept uses


class _RelayUpstream(asyncio.Protocol):
    """The connection of a relay to its upstream."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Forward what the client has sent so far (asyncio.Protocol)."""
        self._relay.upstream = cast(asyncio.Transport, transport)
        self._relay.upstream.write(b"".join(self._relay.early))

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the client (asyncio.Protocol)."""
        self._relay.client.write(data)


class Relay(asyncio.Protocol):
    """The connection of a client, whose bytes are forwarded to an upstream and back without parsing them."""

    def __init__(self, port: int) -> None:
        self._port = port
        self.upstream: asyncio.Transport | None = None
        self.early: list[bytes] = []  # received before the connection to the upstream was established

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Connect to the upstream (asyncio.Protocol)."""
        self.client = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        connect = loop.create_connection(lambda: _RelayUpstream(self), "127.0.0.1", self._port)
        self._task = loop.create_task(connect)

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the upstream (asyncio.Protocol)."""
        if self.upstream is None:
            self.early.append(data)
        else:
            self.upstream.write(data)


async def _serve(factory: Callable[[], asyncio.Protocol]) -> None:
    server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(_LIFETIME_S)


async def _discovery() -> None:
    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(b"1\r\n\n\r\n")
            await asyncio.sleep(_WATCH_INTERVAL_S)

    server = await asyncio.start_server(watch, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(_LIFETIME_S)


async def _aiohttp(upstreams: list[int]) -> None:
    from itertools import cycle

    from aiohttp import ClientSession, web

    ports = cycle(upstreams)
    async with ClientSession() as session:

        async def handle(request: web.Request) -> web.Response:
            url = f"http://127.0.0.1:{next(ports)}{request.path_qs}"
            async with session.request(request.method, url, data=await request.read() or None) as response:
                return web.Response(status=response.status, body=await response.read())

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        print(cast(Any, runner.addresses)[0][1], flush=True)
        await asyncio.sleep(_LIFETIME_S)


async def _submit(port: int, connections: int, requests: int, rate: float) -> None:
    """Send requests over keep-alive connections, one at a time on each, and print the results.

    ``rate`` limits the requests per second; 0 means no limit.
    """
    served = 0
    others = 0
    number = 0
    latencies: list[float] = []
    started_at = time.perf_counter()

    async def send_in_turn() -> None:
        nonlocal served, others, number
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while number < requests:
            own_number = number
            number += 1
            if rate > 0.0:
                await asyncio.sleep(max(started_at + own_number / rate - time.perf_counter(), 0.0))
            sent = time.perf_counter()
            writer.write(
                b"GET /view/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %016x\r\nRequest-Class: view\r\n"
                b"Tenant: t\r\nRequest-Timeout-Ms: 1000\r\n\r\n" % (own_number % 500, own_number)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            at = head.lower().find(b"content-length:")
            length = int(head[at + 15 : head.index(b"\r\n", at)]) if at >= 0 else 0
            await reader.readexactly(length)
            latencies.append(time.perf_counter() - sent)
            if head.startswith(b"HTTP/1.1 200"):
                served += 1
            else:
                others += 1
        writer.close()

    await asyncio.gather(*(send_in_turn() for _ in range(connections)))
    latencies.sort()
    print(
        json.dumps(
            {
                "served": served,
                "others": others,
                "seconds": time.perf_counter() - started_at,
                "p50_ms": 1e3 * latencies[len(latencies) // 2],
                "p99_ms": 1e3 * latencies[int(len(latencies) * 0.99)],
            }
        )
    )


class _FloodConnection(asyncio.Protocol):
    """A client connection of a flood, with one request at a time."""

    def __init__(self, flood: Flood) -> None:
        self._flood = flood
        self._due = 0.0
        self._class = ""
        self._received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection to the free ones of the flood (asyncio.Protocol)."""
        self._transport = cast(asyncio.Transport, transport)
        self._flood.free.append(self)

    def send(self, due: float, class_name: str, message: bytes) -> None:
        """Send a request whose arrival was due at ``due``."""
        self._due = due
        self._class = class_name
        self._transport.write(message)

    def data_received(self, data: bytes) -> None:
        """Report a response when it is complete (asyncio.Protocol)."""
        self._received += data
        end = self._received.find(b"\r\n\r\n")
        if end < 0:
            return
        at = self._received.find(b"Content-Length: ")
        length = int(self._received[at + 16 : self._received.index(b"\r", at)])
        if len(self._received) < end + 4 + length:
            return
        status = int(self._received[9:12])
        is_last = b"Connection: close" in self._received
        self._received = b""
        self._flood.on_response(self, self._class, self._due, status)
        if not is_last:
            self._flood.free.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection (asyncio.Protocol)."""
        self._flood.on_connection_lost(self)


class Flood:
    """Open-loop load: arrivals do not depend on responses, and latencies count from the due arrivals."""

    def __init__(self, port: int, connections: int, rate: float, seconds: float, seed: int) -> None:
        self._port = port
        self._connections = connections
        self._rate = rate
        self._seconds = seconds
        self._seed = seed
        self._counts: dict[str, dict[str, int]] = {}  # by class, then by result
        self._refusal_latencies: list[float] = []
        self._lag_s = 0.0
        self._in_flight: dict[_FloodConnection, str] = {}
        self.free: list[_FloodConnection] = []

    def on_response(self, connection: _FloodConnection, class_name: str, due: float, status: int) -> None:
        """Count a response."""
        self._in_flight.pop(connection, None)
        latency = time.perf_counter() - due
        if status == 200:
            self._count(class_name, "in_time" if latency < _LATENCY_OBJECTIVE_S else "late")
        else:
            self._count(class_name, "refused" if status in (429, 503) else "failed")
            self._refusal_latencies.append(latency)

    def on_connection_lost(self, connection: _FloodConnection) -> None:
        """Count the request in flight on a connection as lost, and open another connection."""
        class_name = self._in_flight.pop(connection, None)
        if class_name is not None:
            self._count(class_name, "lost")
        if connection in self.free:
            self.free.remove(connection)
        asyncio.get_running_loop().create_task(self._connect())

    async def run(self) -> None:
        """Run the load and print the results."""
        random = Random(self._seed)
        await asyncio.gather(*(self._connect() for _ in range(self._connections)))
        number = 0
        due = time.perf_counter()
        end = due + self._seconds
        while due < end:
            now = time.perf_counter()
            if due > now:
                await asyncio.sleep(min(due - now, _MAX_SLEEP_S))
                continue
            self._lag_s = max(self._lag_s, now - due)
            number += 1
            self._send(number, due, "order" if random.random() < _ORDER_RATIO else "view")
            due += random.expovariate(self._rate)
            if number % _REQUESTS_PER_PAUSE == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(_DRAIN_S)
        self._print_results()

    def _send(self, number: int, due: float, class_name: str) -> None:
        self._count(class_name, "offered")
        if not self.free:
            self._count(class_name, "no_connection")
            return
        connection = self.free.pop()
        self._in_flight[connection] = class_name
        name = class_name.encode()
        message = (
            b"GET /%s/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %x-%d\r\nRequest-Class: %s\r\n"
            b"Request-Timeout-Ms: 1200\r\n\r\n"
        )
        connection.send(due, class_name, message % (name, number % 500, self._seed, number, name))

    def _print_results(self) -> None:
        latencies = sorted(self._refusal_latencies)
        median_s = latencies[len(latencies) // 2] if latencies else 0.0
        print(json.dumps({"counts": self._counts, "refusal_p50_ms": median_s * 1e3, "lag_s": self._lag_s}))

    def _count(self, class_name: str, result: str) -> None:
        row = self._counts.setdefault(class_name, {})
        row[result] = row.get(result, 0) + 1

    async def _connect(self) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.create_connection(lambda: _FloodConnection(self), "127.0.0.1", self._port)


def main() -> None:
    """Run the role that the command line names."""
    role, *args = sys.argv[1:]
    match role:
        case "upstream" | "node":  # two names of the same role
            uvloop.run(_serve(lambda: Upstream("closing" in args)))
        case "relay":
            uvloop.run(_serve(lambda: Relay(int(args[0]))))
        case "discovery":
            uvloop.run(_discovery())
        case "aiohttp":
            uvloop.run(_aiohttp([int(arg) for arg in args]))
        case "submit":
            uvloop.run(_submit(int(args[0]), int(args[1]), int(args[2]), float(args[3])))
        case "flood":
            port, connections, rate, seconds, seed = args
            uvloop.run(Flood(int(port), int(connections), float(rate), float(seconds), int(seed)).run())
        case _:
            raise SystemExit(f"unknown role: {role}")


if __name__ == "__main__":
    main()
