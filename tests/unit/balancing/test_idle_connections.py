"""Closing of idle connections."""

from __future__ import annotations

import pytest

from indigokeel.balancing.actions import (
    CloseIdleConnections,
)
from indigokeel.balancing.settings import Prices
from tests.conftest import Driver, actions_of_type, make_members, make_settings, sent_attempts


@pytest.mark.parametrize(("price", "min_closed"), [(0.1, 5), (0.0, 0)])
def test_idle_connections_are_closed_only_where_they_have_a_price(price: float, min_closed: int) -> None:
    driver = Driver(make_settings(prices=Prices(connection=price)), make_members(6))
    names = set()
    for _ in range(60):
        send = sent_attempts(driver.request()[1])[0]
        names |= {
            action.upstream for action in actions_of_type(driver.end_attempt(send), CloseIdleConnections)
        }
    assert len(names) >= min_closed and (min_closed > 0 or not names)
