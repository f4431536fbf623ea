"""The requests that are open, and their final answers."""

from __future__ import annotations

from collections import OrderedDict

from indigokeel.balancing import retry_policy
from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import CancelAttempt, FailRequest, RejectRequest
from indigokeel.balancing.request_state import RequestState
from indigokeel.balancing.retry_after import retry_after_s
from indigokeel.balancing.retry_policy import RULE_MARGIN_S
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.timers import Timers

MAX_WAIT_RATIO = 0.4  # of the time left, that a request waits for an upstream to appear


class OpenRequests:
    """Requests from their arrival until their last attempt has ended, and those waiting for an upstream."""

    def __init__(self, settings: Settings, timers: Timers, sink: ActionSink) -> None:
        self._timers = timers
        self._sink = sink
        self._requests: dict[str, RequestState] = {}
        self._waiting: OrderedDict[str, RequestState] = OrderedDict()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._cancels_attempts = settings.limits.cancellation
        self._retry_after_s = retry_after_s(settings.limits)

    def get(self, request_id: str) -> RequestState | None:
        """Return an open request, or None if it is unknown."""
        return self._requests.get(request_id)

    def add(self, request: RequestState) -> None:
        """Add a request that has arrived."""
        self._requests[request.id] = request

    def waiting(self) -> list[RequestState]:
        """Return the requests that wait for an upstream, oldest first."""
        return list(self._waiting.values())

    def wait(self, now: float, request: RequestState) -> None:
        """Have a request wait for an upstream; it is given up early enough for its client to go elsewhere."""
        if request.id in self._waiting:
            return
        self._waiting[request.id] = request
        time_left_s = request.deadline - now
        wait_s = min(time_left_s * MAX_WAIT_RATIO, time_left_s - RULE_MARGIN_S)
        self._timers.start(wait_s, lambda _: self._give_up_waiting(request))

    def stop_waiting(self, request: RequestState) -> None:
        """Note that an upstream was found for a request."""
        self._waiting.pop(request.id, None)

    def answer_unserved(self, request: RequestState) -> None:
        """Give the final answer to a request that no upstream served, unless it already has one.

        It is rejected where a repeat by the client is harmless, and failed otherwise.
        """
        if request.done:
            return
        if retry_policy.is_harmless_to_repeat(request):
            self._sink.add(RejectRequest(request.id, self._retry_after_s))
        else:
            self._sink.add(FailRequest(request.id))
        self.close(request)

    def close(self, request: RequestState) -> None:
        """Mark a request as done, cancel its open attempts, and forget it once these have ended."""
        request.done = True
        self._waiting.pop(request.id, None)
        if not request.response_started and self._cancels_attempts:
            for number, attempt in enumerate(request.attempts):
                if attempt.open and not attempt.cancelled:
                    attempt.cancelled = True
                    self._sink.add(CancelAttempt(request.id, number))
        if request.open_attempts() == 0:
            self._requests.pop(request.id, None)

    def _give_up_waiting(self, request: RequestState) -> None:
        if request.id in self._waiting:
            self.answer_unserved(request)
