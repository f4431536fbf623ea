"""The state of one request and of its attempts."""

from __future__ import annotations

from indigokeel.balancing.class_statistics import ClassStatistics
from indigokeel.balancing.events import RequestArrived
from indigokeel.balancing.settings import ClassSettings
from indigokeel.balancing.upstream_state import UpstreamState

MAX_ATTEMPTS_NOT_BEGUN = 5  # allowed beyond the limit on attempts, as each may wait for a connection


class AttemptState:
    """One attempt that has been sent."""

    __slots__ = (
        "begun", "cancelled", "expected_s", "hedged", "may_have_run", "missed_objective", "open", "overdue",
        "sent_at", "upstream",
    )  # fmt: skip

    def __init__(self, upstream: UpstreamState, sent_at: float, expected_s: float) -> None:
        self.upstream = upstream
        self.sent_at = sent_at
        self.expected_s = expected_s  # usual latency of such a request
        self.open = True
        self.overdue = False
        self.missed_objective = False  # and is left to end
        self.cancelled = False
        self.hedged = False  # sent while another attempt was open
        # Assumed until the outcome proves otherwise.
        self.begun = True
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
        """``key`` is the hash of the key to be routed by, 0 for none."""
        self.id = event.id
        self.hint_s = event.hint
        self.class_settings = class_settings
        self.class_statistics = class_statistics
        self.max_attempts = max_attempts
        self.key = key
        self.response_started = False  # of a streamed answer
        self.deadline = now + event.budget
        objective = class_settings.latency_objective + class_settings.objective_stretch * event.hint
        self.objective_at = now + min(objective, event.budget)
        late_is_useful = class_settings.late_weight > 0.0 or class_settings.streaming
        self.latest_useful_at = self.deadline if late_is_useful else self.objective_at
        self.attempts: list[AttemptState] = []
        self.done = False

    def has_attempts_left(self) -> bool:
        """Return whether the limit allows another attempt.

        Attempts that never began do not count towards it, within a bound.
        """
        begun = sum(attempt.begun for attempt in self.attempts)
        bound = self.max_attempts + MAX_ATTEMPTS_NOT_BEGUN
        return begun < self.max_attempts and len(self.attempts) < bound

    def open_attempts(self) -> int:
        """Return the number of attempts that have not ended."""
        return sum(attempt.open for attempt in self.attempts)

    def first_possible_execution(self) -> AttemptState | None:
        """Return the first attempt that may have run; a keyed repeat is bound to its group and its time."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None
