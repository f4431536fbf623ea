"""The state of one request and of its attempts."""

from __future__ import annotations

from indigokeel.balancing.class_statistics import ClassStatistics
from indigokeel.balancing.events import RequestArrived
from indigokeel.balancing.settings import ClassSettings
from indigokeel.balancing.upstream_state import UpstreamState

MAX_ATTEMPTS_NOT_SENT = 5  # beyond the limit on attempts; bounded, as each may wait for a connection


class AttemptState:
    """One attempt of a request."""

    __slots__ = (
        "was_sent", "cancelled", "expected_s", "hedged", "may_have_run", "member", "missed_objective",
        "open", "overdue", "sent_at", "upstream",
    )  # fmt: skip

    def __init__(self, upstream: UpstreamState, sent_at: float, expected_s: float) -> None:
        self.upstream = upstream
        self.member = upstream.member  # as listed now: another process may take over the name or the address
        self.sent_at = sent_at
        self.expected_s = expected_s  # expected latency of the request
        self.open = True
        self.overdue = False
        self.missed_objective = False  # it is recorded as late, but not cancelled
        self.cancelled = False
        self.hedged = False  # sent while another attempt of the request was open
        # Both are assumed until the outcome proves the opposite.
        self.was_sent = True
        self.may_have_run = True


class RequestState:
    """One request, from its arrival until it has its final answer and all its attempts have ended."""

    __slots__ = (
        "attempts", "class_settings", "class_statistics", "deadline", "done", "hint_s", "id", "key",
        "latest_useful_at", "max_attempts", "objective_at", "response_started",
    )  # fmt: skip

    def __init__(
        self,
        event: RequestArrived,
        class_settings: ClassSettings,
        class_statistics: ClassStatistics,
        max_attempts: int,
        key: int,
        now: float,
    ) -> None:
        """``key`` is the hash of the routing key, or 0 if there is none."""
        self.id = event.id
        self.hint_s = event.hint
        self.class_settings = class_settings
        self.class_statistics = class_statistics
        self.max_attempts = max_attempts
        self.key = key
        self.response_started = False  # set only for streamed responses
        self.deadline = now + event.budget
        objective = class_settings.latency_objective + class_settings.objective_stretch * event.hint
        self.objective_at = now + min(objective, event.budget)
        late_is_useful = class_settings.late_weight > 0.0 or class_settings.streaming
        self.latest_useful_at = self.deadline if late_is_useful else self.objective_at
        self.attempts: list[AttemptState] = []
        self.done = False

    def has_attempts_left(self) -> bool:
        """Return whether the limit allows another attempt.

        Attempts that were not sent do not count towards it, up to a bound.
        """
        sent = sum(attempt.was_sent for attempt in self.attempts)
        bound = self.max_attempts + MAX_ATTEMPTS_NOT_SENT
        return sent < self.max_attempts and len(self.attempts) < bound

    def open_attempts(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(attempt.open for attempt in self.attempts)

    def first_possible_execution(self) -> AttemptState | None:
        """Return the first attempt that may have run, or None.

        A repeat of a keyed request must stay in that attempt's deduplication scope and idempotency window.
        """
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None
