"""Random cancels of connects to upstreams, among resets, closes and drains of connections.

Afterwards, counts the connections, waiters and sockets that the connection pool and the process still hold.
Run as ``python -m benchmarks.cancels [--opens N] [--seed N]``. Exits with status 1 if anything remains.
"""

from __future__ import annotations

import argparse
import asyncio
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable
from random import Random

import uvloop

from indigokeel.net.upstream import (
    CloseReason,
    ConnectFailure,
    ConnectionLimits,
    ConnectionPool,
    ConnectionWaiter,
    DescriptorLeakDetector,
    PoolOptions,
    Telemetry,
    UpstreamConnection,
)
from indigokeel.net.upstream.descriptor_audit import list_open_sockets

_MAX_HELD = 40  # connections and waiters at the same time
_OPENS_PER_AUDIT = 5000


class _IgnoringHandler:
    """A handler of an upstream connection that ignores all events (ConnectionHandler)."""

    def on_data(self, data: bytes) -> None:
        """Ignore received bytes."""

    def on_writable(self) -> None:
        """Do nothing."""

    def on_closed(self, reason: CloseReason) -> None:
        """Ignore the end of the connection."""


class _Peer(asyncio.Protocol):
    """An upstream that resets, closes or keeps each connection, at random."""

    def __init__(self, random: Random, descriptors: dict[int, str]) -> None:
        self._random = random
        self._descriptors = descriptors
        self._fd = -1

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Reset, close or keep the connection (asyncio.Protocol)."""
        sock = transport.get_extra_info("socket")
        self._fd = sock.fileno()
        self._descriptors[self._fd] = "peer"
        draw = self._random.random()
        if draw < 0.2:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        if draw < 0.4:
            transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the descriptor (asyncio.Protocol)."""
        self._descriptors.pop(self._fd, None)


async def run_load(opens: int, seed: int) -> dict[str, int]:
    """Open and cancel so many connections. Return the counts of the pool and of what remains."""
    loop = asyncio.get_running_loop()
    random = Random(seed)
    peer_descriptors: dict[int, str] = {}
    server = await loop.create_server(lambda: _Peer(random, peer_descriptors), "127.0.0.1", 0, backlog=4096)
    upstreams = [("n0", server.sockets[0].getsockname()), ("n1", _unused_address())]
    counts: Counter[str] = Counter()

    def count(name: str) -> None:
        counts[name] += 1

    pool = ConnectionPool(
        ConnectionLimits.of(216),
        lambda _: _IgnoringHandler(),
        Telemetry(count, lambda *_: None, time.monotonic),
        PoolOptions(seed=seed, connect_timeout_s=0.25),
    )
    sockets_before = set(list_open_sockets())
    audit = DescriptorLeakDetector(
        lambda: pool.table, pool.discard, lambda: peer_descriptors, count, lambda *_: None, time.monotonic
    )
    await _open_and_cancel(opens, random, upstreams, pool, audit)
    pool.close_all()
    await asyncio.sleep(0.1)
    server.close()
    await asyncio.sleep(0.1)
    audit.run_audit()
    audit.run_audit()
    return {
        **counts,
        "in_table": len(pool.table),
        "waiting": pool.waiter_count(),
        "sockets_remaining": len(set(list_open_sockets()) - sockets_before - set(peer_descriptors)),
    }


def _unused_address() -> tuple[str, int]:
    """Return an address that refuses connections."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        address: tuple[str, int] = closed.getsockname()
    return address


async def _open_and_cancel(
    opens: int,
    random: Random,
    upstreams: list[tuple[str, tuple[str, int]]],
    pool: ConnectionPool,
    audit: DescriptorLeakDetector,
) -> None:
    """Acquire connections, and at random cancel, release or close them."""
    held: list[UpstreamConnection | ConnectionWaiter] = []
    for number in range(opens):
        upstream, address = upstreams[random.random() < 0.1]
        timeout_s = random.choice((0.0, 0.001, 0.2))
        held.append(pool.acquire(upstream, address, timeout_s, _hold_when_ready(held)))
        while len(held) > _MAX_HELD or (held and random.random() < 0.4):
            chosen = held.pop(random.randrange(len(held)))
            if isinstance(chosen, ConnectionWaiter):
                pool.cancel(chosen)
            else:
                pool.release(chosen, random.random() < 0.3)
        if random.random() < 0.01:
            pool.drain_upstream(upstream)
        for _ in range(random.choice((0, 0, 1, 1, 2, 3))):
            await asyncio.sleep(0)
        if number % _OPENS_PER_AUDIT == 0:
            audit.run_audit()


def _hold_when_ready(
    held: list[UpstreamConnection | ConnectionWaiter],
) -> Callable[[UpstreamConnection | ConnectFailure], None]:
    """Return the callback of a waiter, which adds its connection to ``held``."""

    def ready(connection: UpstreamConnection | ConnectFailure) -> None:
        if isinstance(connection, UpstreamConnection):
            held.append(connection)

    return ready


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--opens", type=int, default=200_000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    started_at = time.monotonic()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        results = runner.run(run_load(options.opens, options.seed))
    print(f"{options.opens} opens in {time.monotonic() - started_at:.1f} s: {results}")
    remaining = (
        results["in_table"]
        + results["waiting"]
        + results.get("descriptor_audit_missing", 0)
        + results.get("descriptor_audit_leaked", 0)
    )
    raise SystemExit(1 if remaining or results["sockets_remaining"] > 0 else 0)


if __name__ == "__main__":
    main()
