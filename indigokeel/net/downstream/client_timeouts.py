"""How long a client connection may wait for what it waits for. No I/O, no clock."""

from __future__ import annotations

from enum import Enum

# s from a message's first byte (of the first one: from the connection) to its last, and bytes of a body for
# which it gets a second more.
_MESSAGE_TIME = 2.5
_PACE = 32_000
# s after which a connection with no open request is closed, also one that never said anything. Guards against
# those who ask once and stay for good: they use up what descriptors the others have, here and there.
_IDLE = 2.2
_ANSWER_TIME = 5.0  # s for more of an answer to be taken ...
_STREAM_TIME = 10.0  # ... and, of one that passes in pieces, also to come
# s from the end of the own side of a connection to its close, where the peer does not close it first.
_LINGER = 1.0


class Awaited(Enum):
    """What a client connection waits for."""

    CLIENT_TAKES_ANSWER = _ANSWER_TIME
    STREAM_GOES_ON = _STREAM_TIME
    CLIENT_CLOSES = _LINGER
    REST_OF_MESSAGE = _MESSAGE_TIME
    NEXT_REQUEST = _IDLE

    def overdue(self, waited: float, body_size: int) -> bool:
        """Whether it waited too long, in s; ``body_size``: bytes of the message's body that have come."""
        more = body_size / _PACE if self is Awaited.REST_OF_MESSAGE else 0.0
        return waited > self.value + more
