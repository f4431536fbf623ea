"""Random cancels of opens, with resets, closes and drains among them; then what books and process hold.

Run as ``python -m benchmarks.cancels [--opens N] [--seed N]``. Exits 1 if anything is left.
"""

from __future__ import annotations

import argparse
import asyncio
import socket
import struct
import time
from random import Random

import uvloop

from indigokeel.net.upstream import (
    ConnectFailure,
    ConnectionLimits,
    ConnectionPool,
    ConnectionWaiter,
    DescriptorLeakDetector,
    UpstreamConnection,
)
from indigokeel.net.upstream.descriptor_audit import sockets


class _Silence:
    def heard(self, data: bytes) -> None:
        """Nothing is made of it."""

    def lost(self, unsent: bool, ended: bool, local: bool) -> None:
        """Nor of its end."""


class _Peer(asyncio.Protocol):
    """An upstream that, by chance, resets or closes at once, or stays."""

    def __init__(self, random: Random, open_: dict[int, str]) -> None:
        self._random, self._open, self._fd = random, open_, -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        sock = transport.get_extra_info("socket")
        self._fd = sock.fileno()
        self._open[self._fd] = "peer"
        chance = self._random.random()
        if chance < 0.2:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if chance < 0.4:
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._open.pop(self._fd, None)


async def play(opens: int, seed: int) -> dict[str, int]:
    """Play them; what was done, and what is left."""
    loop, random = asyncio.get_running_loop(), Random(seed)
    peers: dict[int, str] = {}
    server = await loop.create_server(lambda: _Peer(random, peers), "127.0.0.1", 0, backlog=4096)
    upstreams = [("n0", server.sockets[0].getsockname())]
    closed = socket.create_server(("127.0.0.1", 0))
    upstreams.append(("n1", closed.getsockname()))
    closed.close()
    counts: dict[str, int] = {}

    def count(what: str) -> None:
        counts[what] = counts.get(what, 0) + 1

    connections = ConnectionPool(
        ConnectionLimits.of(216), lambda _: _Silence(), count, lambda *_: None, time.monotonic, seed, 0.25
    )
    audit = DescriptorLeakDetector(
        lambda: connections.table, connections.discard, lambda: peers, count, lambda *_: None, time.monotonic
    )
    held: list[UpstreamConnection | ConnectionWaiter] = []
    for number in range(opens):
        upstream, address = upstreams[random.random() < 0.1]
        held.append(
            connections.acquire(upstream, address, random.choice((0.0, 0.001, 0.2)), count_ready(held))
        )
        while len(held) > 40 or (held and random.random() < 0.4):
            found = held.pop(random.randrange(len(held)))
            if isinstance(found, ConnectionWaiter):
                connections.cancel(found)
            else:
                connections.release(found, random.random() < 0.3)
        if random.random() < 0.01:
            connections.close_to(upstream)
        for _ in range(random.choice((0, 0, 1, 1, 2, 3))):
            await asyncio.sleep(0)
        if number % 5000 == 0:
            audit.look()
    connections.end()
    await asyncio.sleep(0.1)
    server.close()
    await asyncio.sleep(0.1)
    audit.look()
    audit.look()
    left = len(set(sockets()) - set(audit._own) - set(peers))
    return {
        **counts,
        "in_books": len(connections.table),
        "waiting": connections.waiting(),
        "sockets_left": left,
    }


def count_ready(held: list[UpstreamConnection | ConnectionWaiter]):  # type: ignore[no-untyped-def]
    """What a wait is told: a connection joins those held."""

    def ready(connection: UpstreamConnection | ConnectFailure) -> None:
        if isinstance(connection, UpstreamConnection):
            held.append(connection)

    return ready


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--opens", type=int, default=200_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    began = time.monotonic()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(play(options.opens, options.seed))
    print(f"{options.opens} opens in {time.monotonic() - began:.1f} s: {found}")
    bad = found["in_books"] + found["waiting"] + found.get("audit_phantoms", 0) + found.get("audit_strays", 0)
    raise SystemExit(1 if bad or found["sockets_left"] > 0 else 0)


if __name__ == "__main__":
    main()
