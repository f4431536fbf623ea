"""Collects the actions of the balancer's components."""

from __future__ import annotations

from indigokeel.balancing.actions import Action


class ActionSink:
    """Collects, in order, the actions that result from one event."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def reset(self) -> None:
        """Start a new list; the previous one, which the caller may still hold, is not changed."""
        self.actions = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)
