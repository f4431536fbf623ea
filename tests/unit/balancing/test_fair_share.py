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
        ([100.0, 10.0], [2.0, 1.0], 60.0, [40.0, 10.0]),  # the largest for its weight is reduced by all of it
        ([100.0, 10.0], [2.0, 1.0], 95.0, [10.0, 5.0]),  # both end at one ratio of amount to weight
        ([100.0, 10.0], [2.0, 1.0], 0.0, [100.0, 10.0]),
        ([100.0, 10.0], [2.0, 1.0], 200.0, [0.0, 0.0]),
        ([30.0, 5.0], [1.0, 0.0], 5.0, [30.0, 0.0]),  # an amount without a weight is reduced first
        ([], [], 0.0, []),
    ],
)
def test_reduce_to_fair_share(
    amounts: list[float], weights: list[float], excess: float, kept: list[float]
) -> None:
    assert reduce_to_fair_share(amounts, weights, excess) == pytest.approx(kept)


@given(AMOUNTS, st.floats(0.0, 1.0))
def test_reduction_removes_the_excess_and_leaves_a_common_ratio(
    weighted_amounts: list[tuple[float, float]], excess_ratio: float
) -> None:
    amounts, weights = [a for a, _ in weighted_amounts], [w for _, w in weighted_amounts]
    kept = reduce_to_fair_share(amounts, weights, excess_ratio * sum(amounts))
    assert math.isclose(sum(kept), (1.0 - excess_ratio) * sum(amounts), rel_tol=1e-6, abs_tol=1e-6)
    ratios = [(k / w, a - k > 1e-6) for k, a, w in zip(kept, amounts, weights, strict=True)]
    for reduced_to in [ratio for ratio, is_reduced in ratios if is_reduced]:
        # No amount keeps a higher ratio to its weight than any reduced amount.
        assert max(ratio for ratio, _ in ratios) <= reduced_to * (1.0 + 1e-6) + 1e-3
