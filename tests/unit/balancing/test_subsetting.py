"""Subsets of the fleet, and the upstreams that keys are routed to."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.conftest import Driver, make_members, make_settings, sent_attempts


def test_zones_are_used_in_proportion_to_their_size() -> None:
    """Alternating between zones would overload the upstreams of a small zone."""
    members = tuple(replace(m, zone="small" if i < 10 else "large") for i, m in enumerate(make_members(60)))
    small = 0
    for sidecar in range(40):
        driver = Driver(make_settings(instance_index=sidecar, sidecars=40, zone=""), members, sidecar)
        counts = driver.serve(12)
        small += sum(n for name, n in counts.items() if name in {m.id for m in members[:10]})
    assert small < 40 * 12 * 10 / 60 * 1.4


def test_quiet_sidecar_uses_a_stable_subset() -> None:
    driver = Driver(make_settings(), make_members(60))
    first, second = set(driver.serve(60)), set(driver.serve(60))
    assert len(first | second) <= 30 and len(first & second) >= 8


@pytest.mark.parametrize(("upstreams", "max_targets"), [(20, 1), (40, 2), (60, 4)])
def test_sidecars_route_a_key_to_few_upstreams(upstreams: int, max_targets: int) -> None:
    """A key has one upstream for each position at which subsets begin. If every sidecar routed it to a
    different upstream, it would be cached on none."""
    for key in ("91f03b7c55d20a64", "17c55d20a6491f03"):
        targets = set()
        for sidecar in range(20):
            driver = Driver(
                make_settings(instance_index=sidecar, sidecars=20, key_affinity=True),
                make_members(upstreams),
                sidecar,
            )
            _, actions = driver.request(key=key)
            targets.add(sent_attempts(actions)[0].upstream)
        assert len(targets) <= max_targets


def test_hot_key_is_spread() -> None:
    driver = Driver(make_settings(key_affinity=True), make_members(12))
    assert len(driver.serve(60, key="aa")) >= 6
