"""The messages between the client side and the upstream side: an outbound request and its response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from indigokeel.balancing.events import AttemptOutcome, LoadReport
from indigokeel.net import http
from indigokeel.net.streams import RequestStream, ResponseStream


@dataclass(slots=True)
class OutboundRequest:
    """The parts of a client's request that are forwarded unchanged."""

    method: bytes
    target: bytes
    id: bytes
    key: bytes | None
    body: http.Body
    has_body: bool
    unsafe: bool = False  # the request must not run twice
    request_stream: RequestStream | None = None  # replaces ``body`` if that is long
    # Called immediately before the first byte of an attempt. Returns whether the client has disconnected, in
    # which case the attempt must not be sent, and reports the disconnect.
    has_client_disconnected: Callable[[], bool] = lambda: False


@dataclass(slots=True)
class UpstreamResponse:
    """The result of an attempt."""

    outcome: AttemptOutcome
    load: LoadReport | None = None  # sent by the upstream with the response
    body: http.Body | None = None
    stream: ResponseStream | None = None  # replaces ``body`` if that is long
