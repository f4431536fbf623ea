"""Membership updates."""

from __future__ import annotations

from dataclasses import replace

from indigokeel.balancing.events import (
    EndpointState,
    UpdateKind,
)
from tests.conftest import Driver, make_members


def test_draining_upstream_gets_no_request(driver: Driver) -> None:
    member = make_members(6)[0]
    driver.update_members((replace(member, state=EndpointState.DRAINING),))
    assert member.id not in driver.serve(100)
    driver.update_members((replace(member, state=EndpointState.GONE),))
    assert member.id not in driver.serve(100)


def test_upstream_missing_from_a_full_list_is_removed(driver: Driver) -> None:
    driver.update_members(make_members(6)[1:], UpdateKind.FULL)
    assert make_members(6)[0].id not in driver.serve(100)
