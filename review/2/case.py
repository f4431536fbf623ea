"""Two of ten port servers hang; each request whose last byte was taken gets a final answer in time."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
from pathlib import Path

from review.standins.client import LATE_S, Request
from review.standins.http import listen
from review.standins.platform import Platform, main
from review.standins.settings import settings

_SERVERS = 10
_HANGING = 2  # "up to 20% of the port servers"
_HANG_S = 15.0  # "for 5.6 to 23 s"
_HANG_AFTER_S = 4.0
_SECONDS = 20.0
_RATE = 24.0
_LONG_BODIES = 0.5  # share of the requests
_RECEIVE_BUFFER = 64 * 1024  # of a port server, so that little depends on how the system tunes its buffers
_MAX_BODY = 32 << 20  # "up to 32 MB"


def _long_bodies() -> tuple[int, int]:
    """Return the sizes to choose from: more than the system takes for a port server that reads nothing.

    A body of under twice as much can be written whole to a sidecar that waits for such a port server.
    """
    server = listen(_RECEIVE_BUFFER)
    with server, socket.create_connection(server.getsockname()) as peer:
        peer.setblocking(False)
        taken = 0
        with contextlib.suppress(BlockingIOError):
            while taken < _MAX_BODY:
                taken += peer.send(bytes(1 << 16))
    return min(taken * 5 // 4, _MAX_BODY), min(taken * 7 // 4, _MAX_BODY)


async def _hang(platform: Platform) -> None:
    """Stop some port servers for a while: they take requests and answer none."""
    await asyncio.sleep(_HANG_AFTER_S)
    names = platform.random.sample(sorted(platform.servers), _HANGING)
    for name in names:
        platform.servers[name].send_signal(signal.SIGSTOP)
        platform.record(f"{name} hangs")
    await asyncio.sleep(_HANG_S)
    for name in names:
        platform.servers[name].send_signal(signal.SIGCONT)
        platform.record(f"{name} goes on")


async def run(platform: Platform) -> bool:
    """Return whether each request that was taken got its final answer in time."""
    endpoints = platform.start_port_servers(
        _SERVERS, "--work-ms", "30", "--receive-buffer", str(_RECEIVE_BUFFER)
    )
    await platform.start_sidecar(endpoints, settings())
    shortest, longest = _long_bodies()
    platform.record(f"long bodies have {shortest} to {longest} bytes")
    block = platform.random.randbytes(longest)

    def make(number: int) -> Request:
        request_id = platform.request_id()
        size = 200
        if platform.random.random() < _LONG_BODIES:
            size = platform.random.randint(shortest, longest)
        resource = f"{platform.random.randrange(400):04x}"
        if number % 3:
            return Request(request_id, "route-update", 700, block[:size], resource=resource)
        return Request(request_id, "port-request", 1250, block[:size], f"key-{request_id}", resource)

    trouble = asyncio.create_task(_hang(platform)) if platform.trouble else None
    requests = await platform.offer_load(_RATE, _SECONDS, make)
    if trouble is not None:
        await trouble
    platform.record_all(requests)
    platform.require_service(requests)
    taken = [request for request in requests if request.sent_at]
    lost = [
        request
        for request in taken
        if request.answer is None
        or request.answered_at > request.sent_at + request.timeout_ms / 1000.0 + LATE_S
    ]
    for request in lost:
        platform.record(f"LOST: {request.class_name} {request.id}, body of {len(request.body)} bytes")
    outcomes = [request.outcome() for request in requests]
    counts = ", ".join(f"{outcomes.count(outcome)} {outcome}" for outcome in sorted(set(outcomes)))
    platform.record(f"{len(requests)} requests: {counts}; {len(lost)} of {len(taken)} taken were lost")
    return not lost


if __name__ == "__main__":
    main(Path(__file__).parent, run)
