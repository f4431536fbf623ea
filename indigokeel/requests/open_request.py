"""The state of one open request and of its attempts. No I/O; the clock is passed in."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from indigokeel.balancing.events import AttemptOutcome
from indigokeel.balancing.settings import DeduplicationScope
from indigokeel.endpoints.endpoint_list import Endpoint

# Attempts that ended before their first byte was sent do not count against the limit on attempts, up to this
# number.
_MAX_UNSENT_ATTEMPTS = 5


@dataclass(slots=True)
class OpenAttempt:
    """An attempt, from its start to its one outcome."""

    upstream: str
    endpoint: Endpoint | None  # the upstream as it was listed when the attempt was started
    started_at: float  # clock time
    send_before: float  # clock time before which it must be sent; bounds the retries of a keyed request
    sent: bool = False  # set right before its first byte is written
    outcome: AttemptOutcome | None = None  # None until it has ended

    @property
    def ended(self) -> bool:
        """True once the attempt has its outcome."""
        return self.outcome is not None

    @property
    def may_have_run(self) -> bool:
        """True unless the outcome proves that the attempt had no effect."""
        return self.outcome is None or not self.outcome.never_ran


@dataclass(slots=True)
class OpenRequest:
    """A request from its arrival until it is answered and all its attempts have ended."""

    id: str
    class_name: str
    received_at: float  # clock time
    # Clock time by which it is answered: the end of its time limit, or ``answer_by`` if that is earlier. The
    # time limit does not run while the client sends a streamed body.
    respond_by: float
    answer_by: float  # clock time by which a shutdown needs its answer, or infinity
    idempotency_window: float  # seconds after the first attempt in which a retry may be sent
    max_attempts: int
    time_limit: float  # seconds from the arrival, or from the last byte of a streamed body, to ``respond_by``
    body_streamed: bool
    must_not_repeat: bool  # it is unsafe to run twice
    repeat_scope: DeduplicationScope | None  # of upstreams that detect a repeat of it; None: it is not keyed
    delayed_by_client: bool  # it waited behind other requests of its client; not blamed on an upstream
    attempts: list[OpenAttempt] = field(default_factory=list)
    attempts_in_flight: int = 0
    budget_limited_by_shutdown: bool = False  # ``time_limit`` is less than the client's
    answered: bool = False
    closed: bool = False
    pending_timers: int = 0  # see ``TimerQueue``
    expiry_due_at: float = math.inf  # clock time of the next timer that checks ``respond_by``

    @property
    def limited_by_shutdown(self) -> bool:
        """True if a shutdown, and not the client's time limit, determines ``respond_by``."""
        return self.budget_limited_by_shutdown or self.respond_by == self.answer_by < math.inf

    def add_attempt(self, upstream: str, endpoint: Endpoint | None, now: float) -> OpenAttempt:
        """Add an attempt that starts now, to an upstream that is listed as ``endpoint``."""
        first = next((attempt.started_at for attempt in self.attempts if attempt.may_have_run), math.inf)
        attempt = OpenAttempt(upstream, endpoint, now, first + self.idempotency_window)
        self.attempts.append(attempt)
        return attempt

    def may_send(self, now: float, number: int) -> bool:
        """Return True if attempt ``number`` is within the limits on time and attempts of this request."""
        unsent = sum(attempt.ended and not attempt.sent for attempt in self.attempts[:number])
        counted = number - min(unsent, _MAX_UNSENT_ATTEMPTS)
        return not self.answered and now < self.respond_by and counted < self.max_attempts

    def open_attempt(self, number: int) -> OpenAttempt | None:
        """Return attempt ``number`` if it exists and has no outcome yet."""
        if number >= len(self.attempts) or self.attempts[number].ended:
            return None
        return self.attempts[number]

    def may_have_run(self) -> bool:
        """Return True unless the outcomes prove that no attempt had an effect."""
        return any(attempt.may_have_run for attempt in self.attempts)

    def possible_executions(self, before: int) -> list[OpenAttempt]:
        """Return the attempts before attempt ``before`` that may have run."""
        return [attempt for attempt in self.attempts[:before] if attempt.may_have_run]

    def end_attempt(self, number: int, outcome: AttemptOutcome) -> OpenAttempt:
        """Record the one outcome of an attempt."""
        attempt = self.attempts[number]
        attempt.outcome = outcome
        return attempt

    def start_time_limit(self, started_at: float) -> None:
        """Let the time limit run from a clock time.

        That is the arrival, or the time at which the last byte of a streamed body may have been sent.
        """
        self.respond_by = min(started_at + self.time_limit, self.answer_by)
        for attempt in self.attempts:
            attempt.started_at = max(attempt.started_at, started_at)

    def suspend_time_limit(self) -> None:
        """Let no time limit run until ``start_time_limit``, other than that of a shutdown."""
        self.respond_by = self.answer_by

    def limit_to_shutdown(self, answer_by: float) -> None:
        """Require an answer by the end of a shutdown; an earlier end of the time limit stays in force."""
        self.answer_by = answer_by
        self.respond_by = min(self.respond_by, answer_by)

    def is_done(self) -> bool:
        """Return True once the request is answered and no attempt is in flight."""
        return self.answered and self.attempts_in_flight == 0
