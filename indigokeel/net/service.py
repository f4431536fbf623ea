"""What the client side needs of the sidecar, and what it gets of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol, TypeVar

from indigokeel.decision.interface import Settings
from indigokeel.net import http
from indigokeel.net.exchange import Reply, Task
from indigokeel.net.http import MalformedError
from indigokeel.orders import Job, Verdict

_STATUS = {Verdict.SERVED: 200, Verdict.REFUSED: 503, Verdict.FAILED: 500}

S = TypeVar("S", contravariant=True)  # the client side's own view of a connection


@dataclass(slots=True)
class Final:
    """What is written to a client."""

    verdict: Verdict
    retry_in: float = 0.0
    reply: Reply | None = None  # the execute node's, where it was served

    def pieces(self, close: bool) -> list[bytes]:
        """It as it is written, where it does not pass in pieces; ``close``: the connection ends with it."""
        body = self.reply.body if self.reply is not None else None
        return http.response(_STATUS[self.verdict], body or [], self.retry_in, close)


def error_answer(error: MalformedError, close: bool) -> bytes:
    """What tells a client that its request cannot be served, and why."""
    text = str(error).encode()
    return b"".join(http.response(error.status, [text + b"\n"] if text else [], close=close))


class Service(Protocol[S]):
    """The sidecar, as the client side sees it."""

    closing: bool
    settings: Settings  # those in force

    def healthy(self) -> bool: ...

    def knows(self, job_id: str) -> bool: ...

    def take(self, session: S, arrived: float, job: Job, task: Task) -> None:
        """Take a job. Its answer comes by ``Session.answer``, perhaps before this returns."""

    def uploaded(self, job_id: str) -> None:
        """The last byte of a job's long body has come."""

    def left(self, job_id: str) -> None: ...

    behind: bool  # the sidecar itself: some jobs are turned away

    def turn_away(self, session: S, arrived: float, job_class: str, budget: float) -> float | None:
        """Whether the sidecar is too far behind to take a job: the wait to advise, or None."""

    def crowded(self) -> bool:
        """Whether submitters' connections have become so many that each ends with its answer."""

    def joined(self, session: S) -> None: ...

    def ending(self, session: S) -> None:
        """It has had its last word, and only waits for its peer."""

    def gone(self, session: S) -> None: ...
