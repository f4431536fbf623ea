"""Memory per idle connection of the daemon, on each side.

Clients: connections that have asked once and then say nothing, counted before the daemon ends them.
Upstreams: connections of a manager in this process, all idle. Run as
``python -m benchmarks.idle [--connections N]``.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import resource
import tempfile
import time
from pathlib import Path

import uvloop

from benchmarks.exchange import memory_kb, roles, start_daemon
from indigokeel.net.upstream import (
    CloseReason,
    ConnectionLimits,
    ConnectionPool,
    Telemetry,
    UpstreamConnection,
)

_JOB = (
    b"GET /view/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %x\r\nRequest-Class: view\r\n"
    b"Request-Timeout-Ms: 1000\r\n\r\n"
)


async def _ask(port: int, connections: int) -> list[asyncio.StreamWriter]:
    """As many connections, each with one request served."""
    open_ = []
    for number in range(connections):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_JOB % (number, number))
        await reader.readuntil(b"done")
        open_.append(writer)
    return open_


async def _submitters(pid: int, port: int, connections: int) -> float:
    for writer in await _ask(port, 20):  # warm
        writer.close()
    await asyncio.sleep(0.5)
    before = memory_kb(pid)
    open_ = await _ask(port, connections)
    after = memory_kb(pid)
    for writer in open_:
        writer.close()
    return (after - before) * 1024.0 / connections


class _Quiet:
    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection = connection

    def on_data(self, data: bytes) -> None:
        """Ignore received bytes (ConnectionHandler)."""

    def on_writable(self) -> None:
        """Do nothing: nothing is written (ConnectionHandler)."""

    def on_closed(self, reason: CloseReason) -> None:
        """Ignore the end of the connection (ConnectionHandler)."""


async def _nodes(port: int, connections: int) -> float:
    """In this process: links of a manager of its own, all idle."""
    manager = ConnectionPool(
        ConnectionLimits(connections, connections, connections),
        _Quiet,
        Telemetry(lambda _: None, lambda *_: None, time.monotonic),
    )
    up: list[UpstreamConnection] = []
    before = memory_kb(os.getpid())
    for _ in range(connections):
        found = manager.acquire(
            "n",
            ("127.0.0.1", port),
            5.0,
            lambda connection: up.append(connection) if isinstance(connection, UpstreamConnection) else None,
        )
        if len(manager.table) % 100 == 0:
            await asyncio.sleep(0.01)
        assert not isinstance(found, UpstreamConnection)
    while len(up) < connections:
        await asyncio.sleep(0.01)
    for connection in up:
        manager.release(connection, True)
    after = memory_kb(os.getpid())
    manager.end()
    return (after - before) * 1024.0 / connections


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=2000)
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with roles(("node",), ("discovery",)) as (upstream, discovery), tempfile.TemporaryDirectory() as name:
        process, port = start_daemon(Path(name), [upstream.port], discovery.port, 20 * options.connections)
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                upstreams = runner.run(_nodes(upstream.port, options.connections))
                print(f"to an execute node, idle: {upstreams:.0f} bytes", flush=True)
                held = runner.run(_submitters(process.pid, port, options.connections))
                print(f"of a submitter, idle after its first job: {held:.0f} bytes", flush=True)
        finally:
            process.kill()


if __name__ == "__main__":
    main()
