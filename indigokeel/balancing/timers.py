"""Timers whose callbacks run when the caller reports that they fired."""

from __future__ import annotations

from collections.abc import Callable

from indigokeel.balancing.action_sink import ActionSink
from indigokeel.balancing.actions import SetTimer


class Timers:
    """The pending one-shot timers, by token."""

    def __init__(self, sink: ActionSink) -> None:
        self._sink = sink
        self._callbacks: dict[int, Callable[[float], None]] = {}
        self._next_token = 1

    def start(self, delay_s: float, callback: Callable[[float], None]) -> None:
        """Set a timer; ``callback`` is called with the clock time when it fires."""
        token = self._next_token
        self._next_token += 1
        self._callbacks[token] = callback
        self._sink.add(SetTimer(max(delay_s, 0.0), token))

    def fire(self, now: float, token: int) -> None:
        """Run the callback of a timer; unknown tokens are ignored."""
        callback = self._callbacks.pop(token, None)
        if callback is not None:
            callback(now)
