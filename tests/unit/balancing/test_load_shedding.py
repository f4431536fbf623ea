"""Load shedding by late responses."""

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
from tests.conftest import Driver, actions_of_type, make_members, make_settings, sent_attempts


@pytest.mark.parametrize("failure", [AttemptOutcome.TIMED_OUT, AttemptOutcome.BROKEN])
def test_late_responses_shed_the_lowest_value_first(driver: Driver, failure: AttemptOutcome) -> None:
    """Late responses make clients retry, so they must cause shedding; errors must not, because the fleet
    still has capacity then."""
    rejected = {"view": 0, "pay": 0}
    for number in range(200):
        driver.now += 0.05
        name = "pay" if number % 2 else "view"
        _, actions = driver.request(name)
        rejected[name] += not sent_attempts(actions)
        for send in sent_attempts(actions):
            driver.now += 0.01
            driver.end_attempt(send, AttemptOutcome.OK if number % 10 < 6 else failure, elapsed=0.5)
    if failure is AttemptOutcome.TIMED_OUT:
        assert rejected["view"] > 20 and rejected["pay"] < rejected["view"] / 2
    else:
        assert rejected == {"view": 0, "pay": 0}


@pytest.mark.parametrize(("over_quota_weight", "is_protected"), [(0.1, True), (1.0, False)])
def test_tenant_over_its_quota_is_shed_first(over_quota_weight: float, is_protected: bool) -> None:
    """A burst of one tenant must not cause requests of another tenant to be rejected or late."""
    tenants = (TenantSettings("loud", quota=20.0), TenantSettings("quiet", quota=10.0))
    driver = Driver(make_settings(tenants=tenants, over_quota_weight=over_quota_weight), make_members(6))
    rejected, arrived = {"loud": 0, "quiet": 0}, {"loud": 0, "quiet": 0}
    sent: deque[float] = deque(maxlen=25)
    driver.request(tenant="stranger")  # a tenant without a quota does not affect the others
    for i in range(1500):
        driver.now += 0.02
        tenant = "quiet" if i % 10 == 0 else "loud"  # 5 and 45 requests per second
        _, actions = driver.request(tenant=tenant)
        arrived[tenant] += i > 300
        rejected[tenant] += i > 300 and bool(actions_of_type(actions, RejectRequest))
        for send in sent_attempts(actions):
            # Responses are late while more requests are admitted than the fleet can serve: 25 per second.
            late = len(sent) == 25 and sent[0] > driver.now - 1.0
            sent.append(driver.now)
            driver.end_attempt(send, AttemptOutcome.TIMED_OUT if late else AttemptOutcome.OK)
    ratios = {tenant: rejected[tenant] / arrived[tenant] for tenant in arrived}
    assert ratios["loud"] > 0.3
    assert (ratios["quiet"] < 0.3 * ratios["loud"]) == is_protected


def test_no_shedding_while_answers_are_timely(driver: Driver) -> None:
    for _ in range(200):
        driver.now += 0.05
        _, actions = driver.request()
        assert sent_attempts(actions)
        driver.end_attempt(sent_attempts(actions)[0])
