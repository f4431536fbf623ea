"""Early admission control by the lag of the sidecar."""

from __future__ import annotations

from indigokeel.balancing.events import (
    LagSampled,
)
from indigokeel.balancing.settings import Limits
from tests.conftest import Driver, make_members, make_settings, sends


def sample_lag(driver: Driver, lag: float, beats: int) -> None:
    for _ in range(beats):
        driver.now += 0.05
        driver.balancer.handle(driver.now, LagSampled(lag))


def admitted_ratio(driver: Driver, class_name: str, budget: float = 1.5) -> float:
    """Return the part of 500 requests of a class that is admitted; those are served."""
    taken = 0
    for _ in range(500):
        if driver.balancer.shed_early(driver.now, class_name, budget) is None:
            taken += 1
            _, actions = driver.request(class_name)
            for send in sends(actions):
                driver.end(send)
    return taken / 500


def test_overloaded_sidecar_rejects_the_lowest_value_first(driver: Driver) -> None:
    for name in ("view", "order", "pay"):
        assert admitted_ratio(driver, name) == 1.0
    sample_lag(driver, 0.33, 2)
    parts = {name: admitted_ratio(driver, name) for name in ("view", "order", "pay")}
    assert parts["view"] < 0.3 and parts["order"] > parts["view"] and parts["pay"] == 1.0
    sample_lag(driver, 0.0, 100)  # in step again
    assert all(admitted_ratio(driver, name) == 1.0 for name in ("view", "order", "pay"))


def test_one_late_sample_rejects_nothing(driver: Driver) -> None:
    """A pause of the collector or of the machine is no overload."""
    sample_lag(driver, 0.9, 1)
    sample_lag(driver, 0.0, 1)
    assert admitted_ratio(driver, "view") == 1.0


def test_hopeless_request_is_rejected_with_a_retry_after(driver: Driver) -> None:
    limits = Limits(retry_after=True, max_retry_after=0.1)
    driver = Driver(make_settings(limits=limits), make_members(3))
    sample_lag(driver, 0.4, 5)
    assert driver.balancer.shed_early(driver.now, "pay", 0.4) == 0.1
    assert driver.balancer.shed_early(driver.now, "pay", 1.4) is None
    assert driver.balancer.shed_early(driver.now, "nobody's", 0.1) is None
