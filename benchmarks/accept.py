"""CPU time of accepting a connection: the event loop's own server compared with ``ClientListener``.

Each serves in a process of its own, and the two take turns, round by round. The clients run in another
process; each connects, sends one request, reads the response and closes. The loads are ``one by one``, with
one client at a time, and ``crowd``, with 64 at a time, so that many connections wait in the backlog. The CPU
time is that of the server process, as the system counts it. Run as
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
from benchmarks.peers import RESPONSE, UpstreamPeer
from indigokeel.metrics import Counters
from indigokeel.net.downstream.listener import BACKLOG, ClientListener

SERVERS = ("loop", "listener")
LOADS = {"one by one": 1, "crowd": 64}
_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class _Connection(UpstreamPeer):
    """A server connection that reads its descriptor, as the sidecar's client connections do."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read the descriptor, and then do what the peer does."""
        transport.get_extra_info("socket").fileno()
        super().connection_made(transport)


async def serve(kind: str) -> None:
    """Print the port, and serve until killed."""
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
    """Open so many connections, ``at_a_time``, with one request on each. Print the seconds taken."""
    loop = asyncio.get_running_loop()
    numbers = iter(range(connections))
    started_at = time.perf_counter()

    async def client() -> None:
        for _ in numbers:
            with socket.socket() as connection:
                connection.setblocking(False)
                await loop.sock_connect(connection, ("127.0.0.1", port))
                await loop.sock_sendall(connection, _REQUEST)
                if await loop.sock_recv(connection, 4096) != RESPONSE:
                    raise SystemExit("a connection did not receive the expected response")

    await asyncio.gather(*[client() for _ in range(at_a_time)])
    print(time.perf_counter() - started_at)


def _start_process(*args: str) -> subprocess.Popen[str]:
    """Start this module in a process of its own."""
    command = [sys.executable, "-m", "benchmarks.accept", *args]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, text=True)


def measure(rounds: int, connections: int) -> None:
    """Print the median and the range over all rounds but the first, for each load and server."""
    servers = {kind: _start_process("--serve", kind) for kind in SERVERS}
    ports = {kind: process.stdout.readline().strip() for kind, process in servers.items() if process.stdout}
    try:
        for load, at_a_time in LOADS.items():
            cpu_ms: dict[str, list[float]] = {kind: [] for kind in SERVERS}  # per connection
            accept_rate: dict[str, list[float]] = {kind: [] for kind in SERVERS}
            for round_number in range(rounds + 1):
                for kind in SERVERS if round_number % 2 else reversed(SERVERS):
                    before = cpu(servers[kind].pid)
                    clients = _start_process("--connect", ports[kind], str(connections), str(at_a_time))
                    elapsed_s = clients.communicate()[0]
                    if clients.returncode:
                        raise SystemExit(f"{load}: the clients of the {kind} server failed")
                    if round_number:
                        cpu_ms[kind].append(1e3 * (cpu(servers[kind].pid) - before) / connections)
                        accept_rate[kind].append(connections / float(elapsed_s))
            for kind in SERVERS:
                print(
                    f"{load:10} {kind:8}: {statistics.median(cpu_ms[kind]):.4f} CPU s per 1,000 connections "
                    f"({min(cpu_ms[kind]):.4f} to {max(cpu_ms[kind]):.4f}), "
                    f"{statistics.median(accept_rate[kind]):.0f} connections/s "
                    f"({min(accept_rate[kind]):.0f} to {max(accept_rate[kind]):.0f})",
                    flush=True,
                )
    finally:
        for process in servers.values():
            process.kill()
            process.wait()


def main() -> None:
    """Run the benchmark, or one of its server or client processes."""
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
