"""When discovery is asked again."""

from __future__ import annotations

import pytest

from indigokeel.balancing.actions import (
    SetTimer,
    WatchEndpoints,
)
from indigokeel.balancing.events import (
    TimerFired,
    UpdateKind,
)
from indigokeel.balancing.settings import Safety
from tests.conftest import Driver, make_members, make_settings, of, sends


@pytest.mark.parametrize("within", [10.0, 3.0, 1.5])
def test_discovery_is_asked_at_start_and_again_after_a_failure(within: float) -> None:
    """Well within the time that the settings give for asking; 4 s were fitted to a deployment with 10 s."""
    driver = Driver(make_settings(polls_membership=True, safety=Safety(poll_within=within)), make_members(3))
    assert of(driver.first, WatchEndpoints)
    waits = []
    for _ in range(6):
        timer = of(driver.news((), UpdateKind.FAILED), SetTimer)[0]
        waits.append(timer.delay)
        driver.now += timer.delay
        assert of(driver.balancer.handle(driver.now, TimerFired(timer.token)), WatchEndpoints)
    assert max(waits) <= 0.4 * within and waits[-1] > waits[0]
    assert sends(driver.request()[1]), "the list in hand stays"


def test_discovery_is_asked_again_at_once_after_a_successful_watch() -> None:
    """Calls are handled in turn: half a second late in the queue, an answer came after its drain was due."""
    for seed in range(20):
        driver = Driver(make_settings(polls_membership=True), make_members(3), seed)
        for _ in range(2):
            driver.news(make_members(3))
            waits = [of(driver.news((), UpdateKind.FAILED), SetTimer)[0].delay for _ in range(3)]
            assert waits[0] <= 0.1 < 0.25 <= waits[1] <= 0.5 <= waits[2] <= 1.0
