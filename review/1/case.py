"""Port servers send some answers a second time; none may pass for the answer to another request."""

from __future__ import annotations

from collections import Counter
from pathlib import Path

from review.standins.client import Request
from review.standins.platform import Platform, main
from review.standins.settings import settings

_SERVERS = 8
_RATE = 120.0  # "some see several times the mean"
_SECONDS = 60.0
_TURNED_AWAY = "0.15"  # share of the requests, with and without the disruption: "queue full"
_SECOND_ANSWERS = "0.25,2,6"  # share of the answers, and after how many milliseconds (from, to)


async def run(platform: Platform) -> bool:
    """Return whether each request got an answer that was made for it, and no unsafe one ran twice."""
    options = (
        "--work-ms",
        "60",
        "--full",
        _TURNED_AWAY,
        *(("--second", _SECOND_ANSWERS) if platform.trouble else ()),
    )
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
    platform.require_service(requests)
    events = platform.server_events()
    made = {(event["id"], event["token"]) for event in events if event["event"] == "answer"}
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
    runs = Counter(event["id"] for event in events if event["event"] == "begin")
    twice = [request for request in requests if request.class_name == "route-update" and runs[request.id] > 1]
    for request in twice:
        platform.record(f"TWICE: {request.id} ran {runs[request.id]} times, {request.outcome()}")
    served = sum(request.outcome() == "served" for request in requests)
    platform.record(
        f"{len(requests)} sent, {served} served, {len(wrong)} of them with a foreign answer; "
        f"{len(twice)} unsafe requests ran twice"
    )
    return not wrong and not twice


if __name__ == "__main__":
    main(Path(__file__).parent, run)
