"""Port servers write some long answers in pieces, seconds apart; what they still give is not cut off."""

from __future__ import annotations

from pathlib import Path

from review.standins.client import Request
from review.standins.platform import Platform, main
from review.standins.settings import settings

_SERVERS = 8
_RATE = 20.0
_SECONDS = 20.0
_SHARE = 0.25  # of the answers are long
_BYTES = 512 * 1024  # "up to 32 MB"
_PIECE = 8 * 1024  # "in pieces of any size"
_PAUSE_S = 2.0  # "peers take seconds to read or write"


async def run(platform: Platform) -> bool:
    """Return whether no long answer was cut off whose first bytes the port server gave in time."""
    pause_s = _PAUSE_S if platform.trouble else 0.0
    long_answers = f"{_SHARE},{_BYTES},{_PIECE},{pause_s}"
    endpoints = platform.start_port_servers(_SERVERS, "--work-ms", "30", "--long", long_answers)
    await platform.start_sidecar(endpoints, settings())

    def make(number: int) -> Request:
        request_id = platform.request_id()
        resource = f"{platform.random.randrange(400):04x}"
        if number % 3:
            return Request(request_id, "route-update", 1200, b"u" * 200, resource=resource)
        return Request(request_id, "port-request", 1250, b"p" * 200, f"key-{request_id}", resource)

    requests = await platform.offer_load(_RATE, _SECONDS, make)
    platform.record_all(requests)
    events = platform.server_events()
    begun = {event["id"]: event["t"] for event in events if event["event"] == "long answer begins"}
    cut_off = {event["id"] for event in events if event["event"] == "long answer cut off"}
    lost = [
        request
        for request in requests
        if request.id in cut_off
        and begun[request.id] < request.sent_at + request.timeout_ms / 1000.0
        and request.outcome() != "served"
    ]
    for request in lost:
        first_s = begun[request.id] - request.sent_at
        platform.record(
            f"LOST: {request.class_name} {request.id}, first bytes after {first_s:.3f} s, {request.outcome()}"
        )
    served = sum(request.outcome() == "served" for request in requests)
    platform.record(
        f"{len(requests)} sent, {served} served; of {len(begun)} long answers {len(lost)} were cut off"
    )
    return not lost


if __name__ == "__main__":
    main(Path(__file__).parent, run)
