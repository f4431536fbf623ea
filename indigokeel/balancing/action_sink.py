"""The list that the parts of the balancer add their actions to."""

from __future__ import annotations

from indigokeel.balancing.actions import Action


class ActionSink:
    """Collects, in order, the actions decided on while one event is handled."""

    __slots__ = ("actions",)

    def __init__(self) -> None:
        self.actions: list[Action] = []

    def reset(self) -> None:
        """Start a new list; the previous one stays with whoever holds it."""
        self.actions = []

    def add(self, action: Action) -> None:
        """Append an action."""
        self.actions.append(action)
