"""The open requests and their final answers."""

from __future__ import annotations

from collections import OrderedDict

from indigokeel.balancing import retry_policy
from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import CancelAttempt, FailRequest, RejectRequest
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.retry_after import retry_after_s
from indigokeel.balancing.retry_policy import TIME_LIMIT_MARGIN_S
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.timers import Timers

MAX_WAIT_RATIO = 0.4  # fraction of its remaining time that a request may wait for an upstream


class RequestRegistry:
    """Requests from arrival until their last attempt has ended, and those that wait for an upstream."""

    def __init__(self, settings: Settings, timers: Timers, sink: ActionSink) -> None:
        self._timers = timers
        self._sink = sink
        self._requests: dict[str, RequestState] = {}
        self._waiting: OrderedDict[str, RequestState] = OrderedDict()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings."""
        self._cancellation_enabled = settings.limits.cancellation
        self._retry_after_s = retry_after_s(settings.limits)

    def get(self, request_id: str) -> RequestState | None:
        """Return an open request, or None if it is unknown."""
        return self._requests.get(request_id)

    def add(self, request: RequestState) -> None:
        """Add a request that has arrived."""
        self._requests[request.id] = request

    def waiting(self) -> list[RequestState]:
        """Return the requests that wait for an upstream, in the order in which they began to wait."""
        return list(self._waiting.values())

    def wait(self, now: float, request: RequestState) -> None:
        """Make a request wait for an upstream; the wait ends early enough for its client to try elsewhere."""
        if request.id in self._waiting:
            return
        self._waiting[request.id] = request
        time_left_s = request.deadline - now
        wait_s = min(time_left_s * MAX_WAIT_RATIO, time_left_s - TIME_LIMIT_MARGIN_S)
        self._timers.start(wait_s, lambda _: self._end_wait(request))

    def stop_waiting(self, request: RequestState) -> None:
        """Remove a request from those that wait, as an upstream was found for it."""
        self._waiting.pop(request.id, None)

    def answer_unserved(self, request: RequestState) -> None:
        """Give the final answer to a request that no upstream served, unless it already has one.

        The answer is rejected if the client may safely repeat the request, and failed otherwise.
        """
        if request.done:
            return
        if retry_policy.is_harmless_to_repeat(request):
            self._sink.add(RejectRequest(request.id, self._retry_after_s))
        else:
            self._sink.add(FailRequest(request.id))
        self.close(request)

    def close(self, request: RequestState) -> None:
        """Mark a request as done, cancel its open attempts, and remove it once these have ended."""
        request.done = True
        self._waiting.pop(request.id, None)
        if not request.response_started and self._cancellation_enabled:
            for number, attempt in enumerate(request.attempts):
                if attempt.open and not attempt.cancelled:
                    attempt.cancelled = True
                    self._sink.add(CancelAttempt(request.id, number))
        if request.open_attempts() == 0:
            self._requests.pop(request.id, None)

    def _end_wait(self, request: RequestState) -> None:
        if request.id in self._waiting:
            self.answer_unserved(request)
