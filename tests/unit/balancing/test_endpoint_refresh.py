"""Schedule of the calls to discovery."""

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
from tests.conftest import Driver, actions_of_type, make_members, make_settings, sent_attempts


@pytest.mark.parametrize("poll_within", [10.0, 3.0, 1.5])
def test_discovery_is_called_at_the_start_and_again_after_a_failure(poll_within: float) -> None:
    """Calls must come well within the configured time; a fixed limit of 4 s suits only a setting of 10 s."""
    driver = Driver(
        make_settings(polls_membership=True, safety=Safety(poll_within=poll_within)), make_members(3)
    )
    assert actions_of_type(driver.initial_actions, WatchEndpoints)
    delays = []
    for _ in range(6):
        timer = actions_of_type(driver.update_members((), UpdateKind.FAILED), SetTimer)[0]
        delays.append(timer.delay)
        driver.now += timer.delay
        assert actions_of_type(driver.balancer.handle(driver.now, TimerFired(timer.token)), WatchEndpoints)
    assert max(delays) <= 0.4 * poll_within and delays[-1] > delays[0]
    assert sent_attempts(driver.request()[1]), "the known endpoint list must stay in use"


def test_discovery_is_called_again_at_once_after_a_successful_watch() -> None:
    """Discovery serves calls in turn: queued 0.5 s late, a call reported a drain only after it was due."""
    for seed in range(20):
        driver = Driver(make_settings(polls_membership=True), make_members(3), seed)
        for _ in range(2):
            driver.update_members(make_members(3))
            delays = [
                actions_of_type(driver.update_members((), UpdateKind.FAILED), SetTimer)[0].delay
                for _ in range(3)
            ]
            assert delays[0] <= 0.1 < 0.25 <= delays[1] <= 0.5 <= delays[2] <= 1.0
