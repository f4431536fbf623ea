"""Compare the bytes that two checkouts write in the same scenarios."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

from benchmarks.comparison.client_scenarios import CLIENT_SCENARIOS
from benchmarks.comparison.operation_scenarios import OPERATION_SCENARIOS
from benchmarks.comparison.scenario import Scenario, record
from benchmarks.comparison.transcript import Difference, differences
from benchmarks.comparison.upstream_scenarios import UPSTREAM_SCENARIOS

SCENARIOS: tuple[Scenario, ...] = (*CLIENT_SCENARIOS, *UPSTREAM_SCENARIOS, *OPERATION_SCENARIOS)


# A delay of a process on a busy machine makes a timing value smaller in a single recording. If only timing
# values differ, both sides are recorded again; a difference counts only if it shows in every recording.
MAX_RECORDINGS = 3


def compare_bytes(base: Path, new: Path, only: str = "") -> Iterator[str]:
    """Yield a line for each difference, in the scenarios whose names contain ``only``."""
    for scenario in SCENARIOS:
        if only in scenario.name:
            yield from (difference.line for difference in _compare(scenario, base, new))


def _compare(scenario: Scenario, base: Path, new: Path) -> list[Difference]:
    """Return the differences of one scenario."""
    found: list[Difference] = []
    for _ in range(MAX_RECORDINGS):
        found = list(differences(scenario.name, record(scenario, base), record(scenario, new)))
        if not found or not all(difference.timing_only for difference in found):
            break
    return found
