"""Memory per idle connection: client connections of the sidecar, and upstream connections of this process.

Each client connection has carried one request, and the memory is read before the sidecar closes any. The
upstream connections are in a connection pool of this process. Run as
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

from benchmarks.exchange import memory_kb, running_peers, start_sidecar
from indigokeel.net.upstream import (
    CloseReason,
    ConnectFailure,
    ConnectionLimits,
    ConnectionPool,
    PoolOptions,
    Telemetry,
    UpstreamConnection,
)

_BYTES_PER_KB = 1024.0
_CONNECT_TIMEOUT_S = 5.0
_POLL_INTERVAL_S = 0.01
_SETTLE_S = 0.5
_WARM_UP_CONNECTIONS = 20
_BATCH = 100  # connects started without a pause

_REQUEST = (
    b"GET /view/k%d HTTP/1.1\r\nHost: a\r\nRequest-Id: %x\r\nRequest-Class: view\r\n"
    b"Request-Timeout-Ms: 1000\r\n\r\n"
)


class _IgnoringHandler:
    """A handler of an upstream connection that does nothing (ConnectionHandler)."""

    def __init__(self, connection: UpstreamConnection) -> None:
        self.connection = connection

    def on_data(self, data: bytes) -> None:
        """Ignore received bytes."""

    def on_writable(self) -> None:
        """Do nothing."""

    def on_closed(self, reason: CloseReason) -> None:
        """Ignore the end of the connection."""


async def _open_clients(port: int, connections: int) -> list[asyncio.StreamWriter]:
    """Open connections to the sidecar, and have one request served on each."""
    writers = []
    for number in range(connections):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(_REQUEST % (number, number))
        await reader.readuntil(b"done")
        writers.append(writer)
    return writers


async def _bytes_per_client(pid: int, port: int, connections: int) -> float:
    """Return the memory of the sidecar for one idle client connection."""
    for writer in await _open_clients(port, _WARM_UP_CONNECTIONS):
        writer.close()
    await asyncio.sleep(_SETTLE_S)
    before = memory_kb(pid)
    writers = await _open_clients(port, connections)
    after = memory_kb(pid)
    for writer in writers:
        writer.close()
    return (after - before) * _BYTES_PER_KB / connections


async def _bytes_per_upstream(port: int, connections: int) -> float:
    """Return the memory of this process for one idle upstream connection."""
    pool = ConnectionPool(
        ConnectionLimits(connections, connections, connections),
        _IgnoringHandler,
        Telemetry(lambda _: None, lambda *_: None, time.monotonic),
        PoolOptions(connect_timeout_s=_CONNECT_TIMEOUT_S),
    )
    established: list[UpstreamConnection] = []

    def on_result(result: UpstreamConnection | ConnectFailure) -> None:
        if isinstance(result, UpstreamConnection):
            established.append(result)

    before = memory_kb(os.getpid())
    for _ in range(connections):
        acquired = pool.acquire("n", ("127.0.0.1", port), _CONNECT_TIMEOUT_S, on_result)
        assert not isinstance(acquired, UpstreamConnection)
        if len(pool.table) % _BATCH == 0:
            await asyncio.sleep(_POLL_INTERVAL_S)
    while len(established) < connections:
        await asyncio.sleep(_POLL_INTERVAL_S)
    for connection in established:
        pool.release(connection, True)
    after = memory_kb(os.getpid())
    pool.close_all()
    return (after - before) * _BYTES_PER_KB / connections


def main() -> None:
    """Measure both sides and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=2000)
    options = parser.parse_args()
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with (
        running_peers(("upstream",), ("discovery",)) as (upstream, discovery),
        tempfile.TemporaryDirectory() as name,
    ):
        process, port = start_sidecar(Path(name), [upstream.port], discovery.port, 20 * options.connections)
        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                size = runner.run(_bytes_per_upstream(upstream.port, options.connections))
                print(f"idle upstream connection: {size:.0f} bytes", flush=True)
                size = runner.run(_bytes_per_client(process.pid, port, options.connections))
                print(f"client connection, idle after its first request: {size:.0f} bytes", flush=True)
        finally:
            process.kill()


if __name__ == "__main__":
    main()
