"""Choices among weighted entries, and the van der Corput sequence."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import pytest

from indigokeel.balancing.hashing import hash64
from indigokeel.balancing.weighted_choice import choose_at, choose_by_key, van_der_corput


@dataclass(frozen=True)
class Entry:
    name: str
    name_hash: int


ENTRIES = [Entry(name, hash64(name)) for name in "abc"]


@pytest.mark.parametrize(
    ("position", "name"), [(0.0, "a"), (0.24, "a"), (0.26, "c"), (0.999, "c"), (1.0, "c")]
)
def test_choose_at_selects_by_cumulative_weight(position: float, name: str) -> None:
    assert choose_at(ENTRIES, [1.0, 0.0, 3.0], position).name == name


def test_choose_by_key_follows_the_weights_and_moves_few_keys() -> None:
    chosen = [choose_by_key(ENTRIES, [1.0, 1.0, 2.0], hash64(f"key{i}")).name for i in range(4000)]
    assert Counter(chosen)["c"] == pytest.approx(2000, abs=150)
    without_a = [choose_by_key(ENTRIES[1:], [1.0, 2.0], hash64(f"key{i}")).name for i in range(4000)]
    assert all(new == old for new, old in zip(without_a, chosen, strict=True) if old != "a")


def test_van_der_corput_sequence_is_evenly_spaced() -> None:
    assert [van_der_corput(number) for number in range(8)] == [0, 0.5, 0.25, 0.75, 0.125, 0.625, 0.375, 0.875]
