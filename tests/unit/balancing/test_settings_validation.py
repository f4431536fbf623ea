"""Validation of the settings."""

from __future__ import annotations

from dataclasses import replace

import pytest

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.settings import Limits, Safety
from tests.conftest import SAFE, make_settings


def test_error_names_the_key_that_is_out_of_range() -> None:
    with pytest.raises(ValueError, match="classes"):
        Balancer(make_settings(classes=()), 1)
    with pytest.raises(ValueError, match=r"safety\.cold-from"):
        Balancer(make_settings(safety=Safety(warm_up_initial_ratio=0.0)), 1)
    with pytest.raises(ValueError, match=r"classes\[view\]\.objective-s"):
        Balancer(make_settings(classes=(replace(SAFE, latency_objective=-1.0),)), 1)
    with pytest.raises(ValueError, match=r"limits\.max-attempts"):
        Balancer(make_settings(limits=Limits(max_attempts=0)), 1)
