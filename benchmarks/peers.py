"""The peers of the measurements: minimal upstreams, clients and discovery, a bare relay and an aiohttp proxy.

Each is a function that serves for ever in a process of its own, on 127.0.0.1, and says its port on
standard output. ``python -m benchmarks.peers ROLE ARGS`` starts one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sys
import time
from random import Random
from typing import Any, cast

import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nServer-Load: util=0.30,qps=100\r\n\r\ndone"


class Node(asyncio.Protocol):
    """Answers each message (told by its empty line; bodies are not looked at) with the same 64 bytes."""

    def __init__(self, closing: bool = False) -> None:
        self._closing = closing

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        found = data.count(b"\r\n\r\n")
        if found:
            self._transport.write(ANSWER * found)
            if self._closing:
                self._transport.close()


class _Far(asyncio.Protocol):
    def __init__(self, near: Relay) -> None:
        self._near = near

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._near.far = cast(asyncio.Transport, transport)
        self._near.far.write(b"".join(self._near.early))

    def data_received(self, data: bytes) -> None:
        self._near.near.write(data)


class Relay(asyncio.Protocol):
    """Passes bytes between a client's connection and one to an upstream, and reads none of them."""

    def __init__(self, upstream: int) -> None:
        self._node = upstream
        self.far: asyncio.Transport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.near = cast(asyncio.Transport, transport)
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(loop.create_connection(lambda: _Far(self), "127.0.0.1", self._node))

    def data_received(self, data: bytes) -> None:
        if self.far is None:
            self.early.append(data)
        else:
            self.far.write(data)


async def _serve(factory: Any) -> None:
    server = await asyncio.get_running_loop().create_server(factory, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)


async def _discovery() -> None:
    async def watch(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        while True:
            writer.write(b"1\r\n\n\r\n")
            await asyncio.sleep(2.0)

    server = await asyncio.start_server(watch, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(3600)


async def _aiohttp(upstreams: list[int]) -> None:
    from itertools import cycle

    from aiohttp import ClientSession, web

    turn = cycle(upstreams)
    async with ClientSession() as session:

        async def handle(request: web.RequestState) -> web.Response:
            url = f"http://127.0.0.1:{next(turn)}{request.path_qs}"
            async with session.request(request.method, url, data=await request.read() or None) as answer:
                return web.Response(status=answer.status, body=await answer.read())

        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handle)
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        print(cast(Any, runner.addresses)[0][1], flush=True)
        await asyncio.sleep(3600)


async def _submit(port: int, connections: int, requests: int, rate: float) -> None:
    """Send ``requests`` in all over keep-alive connections, one at a time on each; as fast as answers come,
    or at ``rate`` a second where that is positive. Prints what came, as JSON."""
    served, others, number = 0, 0, 0
    latencies: list[float] = []
    began = time.perf_counter()

    async def one() -> None:
        nonlocal served, others, number
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while number < requests:
            mine, number = number, number + 1
            if rate > 0.0:
                await asyncio.sleep(max(began + mine / rate - time.perf_counter(), 0.0))
            sent = time.perf_counter()
            writer.write(
                b"GET /view/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %016x\r\nRequest-Class: view\r\n"
                b"Tenant: t\r\nRequest-Timeout-Ms: 1000\r\n\r\n" % (mine % 500, mine)
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

    await asyncio.gather(*(one() for _ in range(connections)))
    latencies.sort()
    print(
        json.dumps(
            {
                "served": served,
                "others": others,
                "seconds": time.perf_counter() - began,
                "p50_ms": 1e3 * latencies[len(latencies) // 2],
                "p99_ms": 1e3 * latencies[int(len(latencies) * 0.99)],
            }
        )
    )


class _Line(asyncio.Protocol):
    """One client's connection of a flood: sends what is due as soon as it is free."""

    def __init__(self, flood: Flood) -> None:
        self._flood, self._due, self._class = flood, 0.0, ""
        self._body, self._rest = 0, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._flood.free.append(self)

    def send(self, due: float, class_name: str, message: bytes) -> None:
        self._due, self._class = due, class_name
        self._transport.write(message)

    def data_received(self, data: bytes) -> None:
        self._rest += data
        end = self._rest.find(b"\r\n\r\n")
        if end < 0:
            return
        at = self._rest.find(b"Content-Length: ")
        if len(self._rest) < end + 4 + int(self._rest[at + 16 : self._rest.index(b"\r", at)]):
            return
        status, last = int(self._rest[9:12]), b"Connection: close" in self._rest
        self._rest = b""
        self._flood.done(self, self._class, self._due, status, last)

    def connection_lost(self, exc: Exception | None) -> None:
        self._flood.lost(self)


class Flood:
    """Open-loop load: arrivals are fixed ahead, whatever the answers; time counts from the arrival meant."""

    def __init__(self, port: int, lines: int, rate: float, seconds: float, seed: int) -> None:
        self._port, self._lines, self._rate, self._seconds = port, lines, rate, seconds
        self._seed, self.free = seed, list[_Line]()
        self.open: dict[_Line, str] = {}
        self.counts: dict[str, dict[str, int]] = {}
        self.turned: list[float] = []
        self.own_lag = 0.0

    def _count(self, class_name: str, what: str) -> None:
        row = self.counts.setdefault(class_name, {})
        row[what] = row.get(what, 0) + 1

    def done(self, line: _Line, class_name: str, due: float, status: int, last: bool) -> None:
        self.open.pop(line, None)
        took = time.perf_counter() - due
        if status == 200:
            self._count(class_name, "in_time" if took < 0.6 else "late")
        else:
            self._count(class_name, "refused" if status in (429, 503) else "failed")
            self.turned.append(took)
        if not last:
            self.free.append(line)

    def lost(self, line: _Line) -> None:
        class_name = self.open.pop(line, None)
        if class_name is not None:
            self._count(class_name, "lost")
        if line in self.free:
            self.free.remove(line)
        asyncio.get_running_loop().create_task(self._connect())

    async def _connect(self) -> None:
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().create_connection(lambda: _Line(self), "127.0.0.1", self._port)

    async def run(self) -> None:
        """Play it, and print what came as JSON."""
        random = Random(self._seed)
        await asyncio.gather(*(self._connect() for _ in range(self._lines)))
        number, due = 0, time.perf_counter()
        end = due + self._seconds
        while due < end:
            now = time.perf_counter()
            if due > now:
                await asyncio.sleep(min(due - now, 0.002))
                continue
            self.own_lag = max(self.own_lag, now - due)
            class_name = "order" if random.random() < 0.37 else "view"
            self._count(class_name, "asked")
            number += 1
            if self.free:
                line = self.free.pop()
                self.open[line] = class_name
                line.send(
                    due,
                    class_name,
                    b"GET /%s/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %x-%d\r\nRequest-Class: %s\r\n"
                    b"Request-Timeout-Ms: 1200\r\n\r\n"
                    % (class_name.encode(), number % 500, self._seed, number, class_name.encode()),
                )
            else:
                self._count(class_name, "no_line")
            due += random.expovariate(self._rate)
            if number % 20 == 0:
                await asyncio.sleep(0)
        await asyncio.sleep(1.5)
        self.turned.sort()
        median = self.turned[len(self.turned) // 2] if self.turned else 0.0
        print(json.dumps({"counts": self.counts, "refusal_p50_ms": median * 1e3, "own_lag": self.own_lag}))


def main() -> None:
    """Start one role."""
    role, *args = sys.argv[1:]
    match role:
        case "node":
            uvloop.run(_serve(lambda: Node("closing" in args)))
        case "relay":
            uvloop.run(_serve(lambda: Relay(int(args[0]))))
        case "discovery":
            uvloop.run(_discovery())
        case "aiohttp":
            uvloop.run(_aiohttp([int(arg) for arg in args]))
        case "submit":
            uvloop.run(_submit(int(args[0]), int(args[1]), int(args[2]), float(args[3])))
        case "flood":
            port, lines, rate, seconds, seed = args
            uvloop.run(Flood(int(port), int(lines), float(rate), float(seconds), int(seed)).run())
        case _:
            raise SystemExit(f"no such role: {role}")


if __name__ == "__main__":
    main()
