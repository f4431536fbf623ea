"""The peers of the measurements: minimal nodes, submitters and discovery, a bare relay and an aiohttp proxy.

Each is a function that serves for ever in a process of its own, on 127.0.0.1, and says its port on
standard output. ``python -m benchmarks.peers ROLE ARGS`` starts one.
"""

from __future__ import annotations

import asyncio
import json
import sys
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
    """Passes bytes between a submitter's connection and one to a node, and reads none of them."""

    def __init__(self, node: int) -> None:
        self._node = node
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


async def _aiohttp(nodes: list[int]) -> None:
    from itertools import cycle

    from aiohttp import ClientSession, web

    turn = cycle(nodes)
    async with ClientSession() as session:

        async def handle(request: web.Request) -> web.Response:
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


async def _submit(port: int, connections: int, jobs: int, rate: float) -> None:
    """Send ``jobs`` in all over keep-alive connections, one at a time on each; as fast as answers come, or
    at ``rate`` a second where that is positive. Prints what came, as JSON."""
    loop = asyncio.get_running_loop()
    served, others, number = 0, 0, 0
    latencies: list[float] = []
    began = loop.time()

    async def one() -> None:
        nonlocal served, others, number
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while number < jobs:
            mine, number = number, number + 1
            if rate > 0.0:
                await asyncio.sleep(max(began + mine / rate - loop.time(), 0.0))
            sent = loop.time()
            writer.write(
                b"GET /view/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %016x\r\nRequest-Class: view\r\n"
                b"Tenant: t\r\nRequest-Timeout-Ms: 1000\r\n\r\n" % (mine % 500, mine)
            )
            head = await reader.readuntil(b"\r\n\r\n")
            at = head.lower().find(b"content-length:")
            length = int(head[at + 15 : head.index(b"\r\n", at)]) if at >= 0 else 0
            await reader.readexactly(length)
            latencies.append(loop.time() - sent)
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
                "seconds": loop.time() - began,
                "p50_ms": 1e3 * latencies[len(latencies) // 2],
                "p99_ms": 1e3 * latencies[int(len(latencies) * 0.99)],
            }
        )
    )


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
        case _:
            raise SystemExit(f"no such role: {role}")


if __name__ == "__main__":
    main()
