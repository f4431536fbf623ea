"""A port server sends some answers a second time; nobody may be served with the answer to another request."""

from __future__ import annotations

from pathlib import Path

from review.standins.client import Request
from review.standins.platform import Platform, main
from review.standins.settings import settings

_SERVERS = 8
_RATE = 77.0
_SECONDS = 60.0
_SECOND_ANSWERS = "0.1,2,9"  # share of the answers, and after how many milliseconds (from, to)


async def run(platform: Platform) -> bool:
    """Return whether each request that was served got an answer that a port server made for it."""
    options = ("--work-ms", "60", *(("--second", _SECOND_ANSWERS) if platform.trouble else ()))
    endpoints = platform.start_port_servers(_SERVERS, *options)
    await platform.start_sidecar(endpoints, settings())

    def make(number: int) -> Request:
        request_id = platform.request_id()
        resource = f"{platform.random.randrange(400):04x}"
        if number % 3:
            return Request(request_id, "route-update", 600, b"u" * 200, resource=resource)
        return Request(request_id, "port-request", 1250, b"p" * 200, f"key-{request_id}", resource)

    requests = await platform.offer_load(_RATE, _SECONDS, make)
    platform.record_all(requests)
    made = {(event["id"], event["token"]) for event in platform.server_events() if event["event"] == "answer"}
    wrong = [
        request
        for request in requests
        if request.answer is not None
        and request.answer.status == 200
        and (request.id, request.answer.body.decode("latin-1")) not in made
    ]
    for request in wrong:
        assert request.answer is not None
        platform.record(f"WRONG: {request.id} was served with {request.answer.body.decode('latin-1')!r}")
    served = sum(request.outcome() == "served" for request in requests)
    platform.record(f"{len(requests)} sent, {served} served, {len(wrong)} served with a foreign answer")
    return not wrong


if __name__ == "__main__":
    main(Path(__file__).parent, run)
