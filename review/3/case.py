"""A sidecar is restarted while port servers hang; each request that it took is answered in time."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

from review.standins.client import LATE_S, Request
from review.standins.platform import Platform, main
from review.standins.settings import settings

_SERVERS = 8
_HANGING = 4  # "a quarter to a half of the port servers hang just then"
_RATE = 60.0
_RESTARTS = 4
_END_AFTER_S = 3.0
_LOAD_AFTER_END_S = 0.4  # "new connections go on coming for 0.2 to 0.4 s"
_KILL_AFTER_S = 2.5 + 0.7  # "the longest deadline [...] and 0.7 s more after SIGTERM"
_LONG_BODIES = 0.5  # share of the requests
_MIN_BODY, _MAX_BODY = 100_000, 300_000  # "up to 32 MB"


async def _end(platform: Platform, hang: bool) -> None:
    """Tell the sidecar to end, and stop some port servers just then; kill it when the platform would."""
    await asyncio.sleep(_END_AFTER_S)
    names = platform.random.sample(sorted(platform.servers), _HANGING) if hang else []
    for name in names:
        platform.servers[name].send_signal(signal.SIGSTOP)
        platform.record(f"{name} hangs")
    sidecar = platform.sidecar
    assert sidecar is not None
    sidecar.send_signal(signal.SIGTERM)
    platform.record("the sidecar is told to end (SIGTERM)")
    kill_at = time.monotonic() + _KILL_AFTER_S
    while time.monotonic() < kill_at:
        await asyncio.sleep(0.01)
    if sidecar.poll() is None:
        sidecar.kill()
        platform.record("the sidecar is killed (SIGKILL)")
    else:
        platform.record(f"the sidecar has ended with status {sidecar.returncode}")
    for name in names:
        platform.servers[name].send_signal(signal.SIGCONT)


async def run(platform: Platform) -> bool:
    """Return whether each request that was taken got its final answer in time."""
    endpoints = platform.start_port_servers(_SERVERS, "--work-ms", "30")
    await platform.start_sidecar(endpoints, settings())
    block = platform.random.randbytes(_MAX_BODY)

    def make(number: int) -> Request:
        request_id = platform.request_id()
        size = 200
        if platform.random.random() < _LONG_BODIES:
            size = platform.random.randint(_MIN_BODY, _MAX_BODY)
        resource = f"{platform.random.randrange(400):04x}"
        if number % 3:
            return Request(request_id, "route-update", 600, block[:size], resource=resource)
        return Request(request_id, "port-request", 1250, block[:size], f"key-{request_id}", resource)

    requests: list[Request] = []
    for number in range(_RESTARTS):
        if number:
            await platform.restart_sidecar()
        trouble = asyncio.create_task(_end(platform, platform.trouble))
        requests += await platform.offer_load(_RATE, _END_AFTER_S + _LOAD_AFTER_END_S, make)
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
