"""A client's request after decoding, ready to be balanced and forwarded."""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.net.messages import OutboundRequest
from indigokeel.requests.effects import Request


@dataclass(slots=True)
class ReceivedRequest:
    """A decoded request: what the balancer decides on, and the message to forward unchanged."""

    request: Request
    outbound: OutboundRequest
