"""The estimated risk that an idle connection is reset when it is reused."""

from __future__ import annotations

import pytest

from indigokeel.net.upstream.idle_resets import IdleResetEstimator


@pytest.mark.parametrize(("unsafe", "risky"), [(False, False), (True, True)])
def test_few_resets_are_a_risk_for_unsafe_requests_only(unsafe: bool, risky: bool) -> None:
    """A reset makes a request that must not be sent again fail, so the limit is lower for it."""
    idle_resets = IdleResetEstimator()
    for step in range(100):
        idle_resets.record(0.0, -1.0, False)
        idle_resets.record(0.0, 0.3, step % 25 == 0)
    assert idle_resets.is_risky(0.0, 0.3, unsafe) is risky
    assert not idle_resets.is_risky(0.0, 0.03, unsafe=False)


def test_connections_are_not_reused_after_idle_times_with_many_resets() -> None:
    """The results are those of upstreams that drop connections after 0.1 s without use."""
    idle_resets = IdleResetEstimator()
    for step in range(300):
        now = step * 0.01
        idle_resets.record(now, -1.0, step % 20 == 0)
        idle_resets.record(now, 0.03, step % 20 == 0)
        idle_resets.record(now, 0.25, step % 3 == 0)
    assert [idle_resets.is_risky(3.0, age) for age in (0.0, 0.03, 0.25, 9.0)] == [False, False, True, True]
    # By now the last reset was too long ago.
    assert not idle_resets.is_risky(300.0, 9.0)
