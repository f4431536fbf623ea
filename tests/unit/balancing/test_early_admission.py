"""Early admission control by the lag of the event loop."""

from __future__ import annotations

from indigokeel.balancing.events import (
    LagSampled,
)
from indigokeel.balancing.settings import Limits
from tests.conftest import Driver, make_members, make_settings, sent_attempts


def sample_lag(driver: Driver, lag: float, count: int) -> None:
    for _ in range(count):
        driver.now += 0.05
        driver.balancer.handle(driver.now, LagSampled(lag))


def admitted_ratio(driver: Driver, class_name: str, budget: float = 1.5) -> float:
    """Return the fraction of 500 requests of a class that is admitted; the admitted ones are served."""
    admitted = 0
    for _ in range(500):
        if driver.balancer.shed_early(driver.now, class_name, budget) is None:
            admitted += 1
            _, actions = driver.request(class_name)
            for send in sent_attempts(actions):
                driver.end_attempt(send)
    return admitted / 500


def test_overloaded_sidecar_rejects_the_lowest_value_first(driver: Driver) -> None:
    for name in ("view", "order", "pay"):
        assert admitted_ratio(driver, name) == 1.0
    sample_lag(driver, 0.33, 2)
    ratios = {name: admitted_ratio(driver, name) for name in ("view", "order", "pay")}
    assert ratios["view"] < 0.3 and ratios["order"] > ratios["view"] and ratios["pay"] == 1.0
    sample_lag(driver, 0.0, 100)  # no lag any more
    assert all(admitted_ratio(driver, name) == 1.0 for name in ("view", "order", "pay"))


def test_one_late_sample_rejects_nothing(driver: Driver) -> None:
    """A single pause, of the garbage collector or of the machine, is no overload."""
    sample_lag(driver, 0.9, 1)
    sample_lag(driver, 0.0, 1)
    assert admitted_ratio(driver, "view") == 1.0


def test_request_with_too_short_a_budget_is_rejected_with_a_retry_after(driver: Driver) -> None:
    limits = Limits(retry_after=True, max_retry_after=0.1)
    driver = Driver(make_settings(limits=limits), make_members(3))
    sample_lag(driver, 0.4, 5)
    assert driver.balancer.shed_early(driver.now, "pay", 0.4) == 0.1
    assert driver.balancer.shed_early(driver.now, "pay", 1.4) is None
    assert driver.balancer.shed_early(driver.now, "unknown", 0.1) is None
