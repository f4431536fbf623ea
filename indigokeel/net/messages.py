"""The messages between the client side and the upstream side: a request to forward, and its response."""

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
    unsafe: bool = False  # must never run twice
    request_stream: RequestStream | None = None  # in place of ``body``, if that is long
    # Called right before an attempt's first byte: returns whether the client has disconnected, so that the
    # attempt must not be sent, and reports the disconnect.
    has_client_left: Callable[[], bool] = lambda: False


@dataclass(slots=True)
class UpstreamResponse:
    """The result of an attempt."""

    outcome: AttemptOutcome
    load: LoadReport | None = None  # as reported by the upstream
    body: http.Body | None = None
    stream: ResponseStream | None = None  # in place of ``body``, if that is long
