"""The delays after local failures, and the suspension of connects."""

from __future__ import annotations

from random import Random

import pytest

from indigokeel.net.upstream.backoff import Backoff, ConnectBackoff


def test_delays_double_with_jitter_up_to_a_limit_until_a_reset() -> None:
    backoff = Backoff(Random(1))
    for ceiling_s in (0.002, 0.004, 0.008, 0.016, 0.016, 0.016):
        assert ceiling_s / 2.0 <= backoff.next_delay_s() <= ceiling_s
    backoff.reset()
    assert 0.001 <= backoff.next_delay_s() <= 0.002


@pytest.mark.parametrize(("scope", "others_suspended"), [("s-0", False), (None, True)])
def test_suspension_applies_to_its_upstream_or_to_all(scope: str | None, others_suspended: bool) -> None:
    backoff = ConnectBackoff(Random(1))
    delay_s = backoff.suspend(100.0, scope)
    assert (backoff.is_active("s-0"), backoff.is_active("s-1")) == (True, others_suspended)
    backoff.resume(100.0 + delay_s, scope)
    assert not backoff.is_active("s-0") and not backoff.is_active("s-1")


def test_ended_suspension_is_remembered_until_it_is_dropped() -> None:
    backoff = ConnectBackoff(Random(1))
    delay_s = backoff.suspend(100.0, "s-0")
    backoff.resume(100.0 + delay_s, "s-0")
    assert backoff.was_active_since("s-0", 100.0)
    assert not backoff.was_active_since("s-0", 101.0) and not backoff.was_active_since("s-1", 100.0)
    backoff.drop_expired(140.0)
    assert not backoff.was_active_since("s-0", 100.0)


def test_active_suspension_is_not_dropped() -> None:
    backoff = ConnectBackoff(Random(1))
    backoff.suspend(100.0, "s-0")
    backoff.drop_expired(1000.0)
    assert backoff.is_active("s-0")
