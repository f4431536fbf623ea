"""Weighted max-min fairness."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from indigokeel.balancing.fair_share import reduce_to_fair_share

AMOUNTS = st.lists(st.tuples(st.floats(0.0, 1e3), st.floats(0.01, 1e3)), min_size=1, max_size=6)


@pytest.mark.parametrize(
    ("amounts", "weights", "excess", "kept"),
    [
        ([100.0, 10.0], [2.0, 1.0], 60.0, [40.0, 10.0]),  # the loud one gives all of it
        ([100.0, 10.0], [2.0, 1.0], 95.0, [10.0, 5.0]),  # down to one level
        ([100.0, 10.0], [2.0, 1.0], 0.0, [100.0, 10.0]),
        ([100.0, 10.0], [2.0, 1.0], 200.0, [0.0, 0.0]),
        ([30.0, 5.0], [1.0, 0.0], 5.0, [30.0, 0.0]),  # what has no weight goes first
        ([], [], 0.0, []),
    ],
)
def test_trim(amounts: list[float], weights: list[float], excess: float, kept: list[float]) -> None:
    assert reduce_to_fair_share(amounts, weights, excess) == pytest.approx(kept)


@given(AMOUNTS, st.floats(0.0, 1.0))
def test_trim_cuts_the_excess_and_leaves_one_level(parts: list[tuple[float, float]], share: float) -> None:
    amounts, weights = [a for a, _ in parts], [w for _, w in parts]
    kept = reduce_to_fair_share(amounts, weights, share * sum(amounts))
    assert math.isclose(sum(kept), (1.0 - share) * sum(amounts), rel_tol=1e-6, abs_tol=1e-6)
    levels = [(k / w, a - k > 1e-6) for k, a, w in zip(kept, amounts, weights, strict=True)]
    for cut_to in [level for level, cut in levels if cut]:
        # Nothing stays above the level that anything was cut down to.
        assert max(level for level, _ in levels) <= cut_to * (1.0 + 1e-6) + 1e-3
