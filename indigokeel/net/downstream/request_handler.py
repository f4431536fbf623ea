"""The interface between client connections and the sidecar that serves their requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from indigokeel.balancing.settings import Settings
from indigokeel.net import http
from indigokeel.net.http import RequestError
from indigokeel.net.messages import OutboundRequest, UpstreamResponse
from indigokeel.requests.effects import FinalStatus, Request

_STATUS_CODES = {FinalStatus.SERVED: 200, FinalStatus.REJECTED: 503, FinalStatus.FAILED: 500}

ConnectionT = TypeVar("ConnectionT", contravariant=True)


@dataclass(slots=True)
class FinalResponse:
    """The response to a client's request."""

    status: FinalStatus
    retry_after_s: float = 0.0
    response: UpstreamResponse | None = None  # the upstream's, if the request was served

    def encode(self, close: bool) -> list[bytes]:
        """Return the head and the chunks of a body that is not streamed.

        ``close`` tells the client that the connection ends with this response.
        """
        body = self.response.body if self.response is not None else None
        return http.format_response(_STATUS_CODES[self.status], body or [], self.retry_after_s, close)


def encode_error(error: RequestError, close: bool) -> bytes:
    """Return the response that tells a client why its request cannot be served."""
    text = str(error).encode()
    return b"".join(http.format_response(error.status, [text + b"\n"] if text else [], close=close))


class RequestHandler(Protocol[ConnectionT]):
    """What client connections need of the sidecar."""

    closing: bool  # the process is shutting down
    overloaded: bool  # the sidecar itself is overloaded and rejects some requests early

    def settings_for(self, class_name: str, earliest: float, latest: float) -> Settings:
        """Return the settings for a request that arrived between two times, in monotonic seconds."""

    def is_healthy(self) -> bool:
        """Return whether the sidecar can serve requests."""

    def is_open(self, request_id: str) -> bool:
        """Return whether a request with this id is being served, or may have run and must not run twice."""

    def handle_request(
        self, client: ConnectionT, arrived: float, request: Request, outbound: OutboundRequest
    ) -> None:
        """Serve a request.

        The response goes to ``ClientConnection.send_final_response``, perhaps before this returns.
        """

    def request_body_sent(self, request_id: str, sent_at: float | None) -> None:
        """Record the earliest time at which the client may have sent the last byte of a streamed body.

        ``sent_at`` is in monotonic seconds, or None if the client has certainly not sent that byte yet.
        """

    def client_disconnected(self, request_id: str) -> None:
        """Cancel a request whose client has disconnected."""

    def shed_early(self, client: ConnectionT, arrived: float, class_name: str, budget: float) -> float | None:
        """Return the seconds after which to retry if the sidecar sheds the request, else None."""

    def has_too_many_active_connections(self) -> bool:
        """Return whether there are so many connections that each has to close after its response."""

    def connection_opened(self, client: ConnectionT) -> None:
        """Register a connection."""

    def connection_closing(self, client: ConnectionT) -> None:
        """Record that a connection has been ended and waits for its client to close."""

    def connection_closed(self, client: ConnectionT) -> None:
        """Remove a connection."""
