"""Load shedding by lateness."""

from __future__ import annotations

from collections import deque

import pytest

from indigokeel.balancing.actions import (
    RejectRequest,
)
from indigokeel.balancing.events import (
    AttemptOutcome,
)
from indigokeel.balancing.settings import TenantSettings
from tests.conftest import Driver, make_members, make_settings, of, sends


@pytest.mark.parametrize("late", [AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN])
def test_lateness_sheds_the_lowest_value_first(driver: Driver, late: AttemptOutcome) -> None:
    """Late answers lead to retries by clients, so they must cause shedding; errors must not, because the
    fleet then still has capacity."""
    refused = {"view": 0, "pay": 0}
    for number in range(200):
        driver.now += 0.05
        name = "pay" if number % 2 else "view"
        _, actions = driver.request(name)
        refused[name] += not sends(actions)
        for send in sends(actions):
            driver.now += 0.01
            driver.end(send, AttemptOutcome.OK if number % 10 < 6 else late, elapsed=0.5)
    if late is AttemptOutcome.TIMED_OUT:
        assert refused["view"] > 20 and refused["pay"] < refused["view"] / 2
    else:
        assert refused == {"view": 0, "pay": 0}


@pytest.mark.parametrize(("priority_weight", "spared"), [(0.1, True), (1.0, False)])
def test_tenant_over_its_quota_is_shed_first(priority_weight: float, spared: bool) -> None:
    """The burst of one tenant does not cause the requests of another to be rejected or late."""
    tenants = (TenantSettings("loud", quota=20.0), TenantSettings("quiet", quota=10.0))
    driver = Driver(make_settings(tenants=tenants, over_quota_weight=priority_weight), make_members(6))
    refused, asked = {"loud": 0, "quiet": 0}, {"loud": 0, "quiet": 0}
    sent: deque[float] = deque(maxlen=25)
    driver.request(tenant="stranger")  # one request of no tenant with a quota changes nothing for the others
    for i in range(1500):
        driver.now += 0.02
        tenant = "quiet" if i % 10 == 0 else "loud"  # 5 and 45 a second
        _, actions = driver.request(tenant=tenant)
        asked[tenant] += i > 300
        refused[tenant] += i > 300 and bool(of(actions, RejectRequest))
        for send in sends(actions):
            # What is admitted is late while there is more of it than the fleet can do: 25 a second.
            late = len(sent) == 25 and sent[0] > driver.now - 1.0
            sent.append(driver.now)
            driver.end(send, AttemptOutcome.TIMED_OUT if late else AttemptOutcome.OK)
    parts = {tenant: refused[tenant] / asked[tenant] for tenant in asked}
    assert parts["loud"] > 0.3
    assert (parts["quiet"] < 0.3 * parts["loud"]) == spared


def test_no_shedding_while_answers_are_timely(driver: Driver) -> None:
    for _ in range(200):
        driver.now += 0.05
        _, actions = driver.request()
        assert sends(actions)
        driver.end(sends(actions)[0])
