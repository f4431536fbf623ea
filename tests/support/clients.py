"""What client connections need that run in a test instead of a sidecar."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from indigokeel.net.downstream.resources import ClientResources
from indigokeel.net.turn_scheduler import TurnScheduler


def make_client_resources() -> ClientResources:
    """Return resources whose scheduler never runs out of time; it also works without an event loop."""
    return ClientResources(TurnScheduler(_call_soon, lambda: 0.0))


def _call_soon(task: Callable[[], None]) -> None:
    with contextlib.suppress(RuntimeError):  # no event loop is running
        asyncio.get_running_loop().call_soon(task)
