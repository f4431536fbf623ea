"""What the client side needs of the sidecar, and what it gets of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from indigokeel.balancing.settings import Settings
from indigokeel.net import http
from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.requests.effects import FinalStatus, Request

_STATUS = {FinalStatus.SERVED: 200, FinalStatus.REJECTED: 503, FinalStatus.FAILED: 500}

S = TypeVar("S", contravariant=True)  # the client side's own view of a connection


@dataclass(slots=True)
class FinalResponse:
    """What is written to a client."""

    status: FinalStatus
    retry_after_s: float = 0.0
    response: UpstreamResponse | None = None  # the upstream's, where it was served

    def pieces(self, close: bool) -> list[bytes]:
        """It as it is written, where it does not pass in pieces; ``close``: the connection ends with it."""
        body = self.response.body if self.response is not None else None
        return http.response(_STATUS[self.status], body or [], self.retry_after_s, close)


def error_answer(error: RequestError, close: bool) -> bytes:
    """What tells a client that its request cannot be served, and why."""
    text = str(error).encode()
    return b"".join(http.response(error.status, [text + b"\n"] if text else [], close=close))


class RequestHandler(Protocol[S]):
    """The sidecar, as the client side sees it."""

    closing: bool
    settings: Settings  # those in force

    def is_healthy(self) -> bool: ...

    def is_open(self, request_id: str) -> bool: ...

    def handle_request(self, client: S, arrived: float, request: Request, outbound: OutboundRequest) -> None:
        """Take a request. Its answer comes by ``ClientConnection.answer``, perhaps before this returns."""

    def request_body_received(self, request_id: str) -> None:
        """The last byte of a request's long body has come."""

    def client_disconnected(self, request_id: str) -> None: ...

    overloaded: bool  # the sidecar itself: some requests are turned away

    def shed_early(self, client: S, arrived: float, class_name: str, budget: float) -> float | None:
        """Whether the sidecar is too far behind to take a request: the wait to advise, or None."""

    def is_crowded(self) -> bool:
        """Whether clients' connections have become so many that each ends with its answer."""

    def connection_opened(self, client: S) -> None: ...

    def connection_closing(self, client: S) -> None:
        """It has had its last word, and only waits for its peer."""

    def connection_closed(self, client: S) -> None: ...
