"""Weighted max-min fairness."""

from __future__ import annotations

import math


def reduce_to_fair_share(amounts: list[float], weights: list[float], excess: float) -> list[float]:
    """Return the amounts reduced by ``excess`` in total, those largest relative to their weight first.

    Reduced amounts end at one common ratio of amount to weight (weighted max-min fairness); amounts of weight
    zero are reduced first.
    """
    kept = list(amounts)
    order = sorted(range(len(kept)), key=lambda i: kept[i] / weights[i] if weights[i] > 0.0 else math.inf)
    remaining = sum(kept) - excess
    remaining_weight = sum(weights)
    for i in order:
        share = max(remaining, 0.0) * weights[i] / remaining_weight if remaining_weight > 0.0 else 0.0
        kept[i] = min(kept[i], share)
        remaining -= kept[i]
        remaining_weight -= weights[i]
    return kept
