"""Cost of accepting a connection: the event loop's own server and ``ClientListener``, in one run.

Each serves in a process of its own, and the two take turns, round by round. The clients are in another
process; they connect, send one request, read the response and close. ``one by one``: one client at a time;
``crowd``: 64 at a time, so that many wait in the backlog. CPU is the server's by the system's count. Run as
``python -m benchmarks.accept [--rounds N] [--connections N]``.
"""

from __future__ import annotations

import argparse
import asyncio
import socket
import statistics
import subprocess
import sys
import time

import uvloop

from benchmarks.exchange import ROOT, cpu
from benchmarks.peers import ANSWER, Node
from indigokeel.metrics import Counters
from indigokeel.net.downstream.listener import BACKLOG, ClientListener

SERVERS = ("loop", "listener")
LOADS = {"one by one": 1, "crowd": 64}
_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class _Connection(Node):
    """Read the descriptor, as the sidecar's connections do."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read the descriptor, and then do as the peer does."""
        transport.get_extra_info("socket").fileno()
        super().connection_made(transport)


async def serve(kind: str) -> None:
    """Serve until killed; print the port."""
    loop = asyncio.get_running_loop()
    listener = socket.socket()
    listener.setblocking(False)
    listener.bind(("127.0.0.1", 0))
    if kind == "loop":
        await loop.create_server(_Connection, sock=listener, backlog=BACKLOG)
    else:
        ClientListener(loop, listener, _Connection, Counters("accept")).open()
    print(listener.getsockname()[1], flush=True)
    await asyncio.Event().wait()


async def connect(port: int, connections: int, at_a_time: int) -> None:
    """Make ``connections``, each with one request, ``at_a_time``; print the seconds taken."""
    loop = asyncio.get_running_loop()
    numbers = iter(range(connections))
    began = time.perf_counter()

    async def client() -> None:
        for _ in numbers:
            with socket.socket() as conn:
                conn.setblocking(False)
                await loop.sock_connect(conn, ("127.0.0.1", port))
                await loop.sock_sendall(conn, _REQUEST)
                if await loop.sock_recv(conn, 4096) != ANSWER:
                    raise SystemExit("a connection got no response")

    await asyncio.gather(*[client() for _ in range(at_a_time)])
    print(time.perf_counter() - began)


def _start(*args: str) -> subprocess.Popen[str]:
    """Start this module in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.accept", *args]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)


def measure(rounds: int, connections: int) -> None:
    """Print, for each load and server, the median and the range over the rounds after the first."""
    servers = {kind: _start("--serve", kind) for kind in SERVERS}
    ports = {kind: process.stdout.readline().strip() for kind, process in servers.items() if process.stdout}
    try:
        for load, at_a_time in LOADS.items():
            cost: dict[str, list[float]] = {kind: [] for kind in SERVERS}
            rate: dict[str, list[float]] = {kind: [] for kind in SERVERS}
            for turn in range(rounds + 1):
                for kind in SERVERS if turn % 2 else reversed(SERVERS):
                    before = cpu(servers[kind].pid)
                    clients = _start("--connect", ports[kind], str(connections), str(at_a_time))
                    elapsed_s = clients.communicate()[0]
                    if clients.returncode:
                        raise SystemExit(f"{load}: the clients of {kind} failed")
                    if turn:
                        cost[kind].append(1e3 * (cpu(servers[kind].pid) - before) / connections)
                        rate[kind].append(connections / float(elapsed_s))
            for kind in SERVERS:
                print(
                    f"{load:10} {kind:8}: {statistics.median(cost[kind]):.4f} CPU s per 1,000 connections "
                    f"({min(cost[kind]):.4f} to {max(cost[kind]):.4f}), "
                    f"{statistics.median(rate[kind]):.0f} connections/s "
                    f"({min(rate[kind]):.0f} to {max(rate[kind]):.0f})",
                    flush=True,
                )
    finally:
        for process in servers.values():
            process.kill()
            process.wait()


def main() -> None:
    """Run the benchmark, or one of its processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=9)
    parser.add_argument("--connections", type=int, default=8000)
    parser.add_argument("--serve", choices=SERVERS)
    parser.add_argument("--connect", nargs=3, type=int, metavar=("PORT", "CONNECTIONS", "AT_A_TIME"))
    options = parser.parse_args()
    if options.serve:
        uvloop.run(serve(options.serve))
    elif options.connect:
        uvloop.run(connect(*options.connect))
    else:
        measure(options.rounds, options.connections)


if __name__ == "__main__":
    main()
