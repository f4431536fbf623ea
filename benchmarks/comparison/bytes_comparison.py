"""Comparison 1: the bytes that both checkouts write in the same scenarios."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from benchmarks.comparison.client_scenarios import CLIENT_SCENARIOS
from benchmarks.comparison.operation_scenarios import OPERATION_SCENARIOS
from benchmarks.comparison.scenario import Scenario, record
from benchmarks.comparison.transcript import differences
from benchmarks.comparison.upstream_scenarios import UPSTREAM_SCENARIOS

SCENARIOS: tuple[Scenario, ...] = (*CLIENT_SCENARIOS, *UPSTREAM_SCENARIOS, *OPERATION_SCENARIOS)


def compare_bytes(base: Path, new: Path, only: str = "") -> Iterator[str]:
    """Yield a line for each difference. ``only`` restricts it to scenarios whose name contains it."""
    for scenario in SCENARIOS:
        if only in scenario.name:
            yield from differences(scenario.name, record(scenario, base), record(scenario, new))
