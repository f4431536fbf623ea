"""What the client side and the upstream side hand to each other: a request to forward, and its response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.net import http
from indigokeel.net.streams import RequestStream, ResponseStream


@dataclass(slots=True)
class OutboundRequest:
    """What of a client's message goes on to an upstream, unchanged."""

    method: bytes
    target: bytes
    id: bytes
    key: bytes | None
    body: http.Body
    has_body: bool
    unsafe: bool = False  # it must never run twice
    request_stream: RequestStream | None = None  # instead of ``body``, where that is long
    # Asked right before an attempt's first byte: whether its client has closed by now. Where so, that is
    # told on, and the attempt given up.
    left: Callable[[], bool] = lambda: False


@dataclass(slots=True)
class UpstreamResponse:
    """What came of an attempt."""

    outcome: AttemptOutcome
    load: dict[str, float] | None = None
    body: http.Body | None = None
    stream: ResponseStream | None = None  # instead of ``body``, where that is long: it goes on coming
