"""A client's request after decoding, ready to be balanced and forwarded."""

from __future__ import annotations

from dataclasses import dataclass

from indigokeel.net.messages import OutboundRequest
from indigokeel.requests.effects import Request

_OBJECTS_BYTES = 1_500  # memory of the objects that describe a request, without their content


@dataclass(slots=True)
class ReceivedRequest:
    """A decoded request: what the balancer decides on, and the message to forward unchanged."""

    request: Request
    outbound: OutboundRequest

    def held_bytes(self) -> int:
        """Return the memory that the request takes, without a body that is streamed."""
        outbound = self.outbound
        text_bytes = len(outbound.target) + len(outbound.id) + len(outbound.key or b"")
        return _OBJECTS_BYTES + 2 * text_bytes + sum(map(len, outbound.body))
