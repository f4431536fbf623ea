"""The open times of a circuit breaker, and the trial connects while it is half-open."""

from __future__ import annotations

from random import Random

from indigokeel.net.upstream.circuit_breaker import FAILURE_THRESHOLD, CircuitBreaker


def test_open_time_grows_with_jitter_and_half_open_allows_one_trial() -> None:
    breaker, now, waits = CircuitBreaker(Random(3)), 0.0, []
    for _ in range(FAILURE_THRESHOLD):
        assert breaker.allows(now)
        breaker.on_connect_started()
        breaker.on_connect_failed(now)
    for _ in range(12):
        assert not breaker.allows(now) or breaker.open_until <= now
        waits.append(breaker.open_until - now)
        now = breaker.open_until
        assert breaker.allows(now)
        breaker.on_connect_started()
        assert not breaker.allows(now + 9.0)  # a trial is already in progress
        breaker.on_connect_failed(now)
    assert max(waits) <= 2.0 and max(waits[:2]) <= 0.4 and len(set(waits)) == len(waits)
    breaker.on_connected()
    assert breaker.allows(now)
