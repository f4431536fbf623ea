"""A pytest plugin: passes over the tests that KNOWN-RED.txt at the root lists, and over no others.

Each line holds a test's id, the cause, and the issue that mends it, with `` | `` between; at most three.
A listed test is run all the same: its failure is printed and does not fail the run, and where it passes,
that is said, for the line can go. A line that is not whole, a fourth one, or a name that no test has fails
the run.
"""

from __future__ import annotations

from collections.abc import Generator
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


def read(path: Path) -> dict[str, str]:
    """What a file lists: by test, the cause and the issue. Raises ValueError on what does not hold to the
    form; a missing file lists nothing."""
    found: dict[str, str] = {}
    for line in path.read_text().splitlines() if path.exists() else []:
        if not line.strip():
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"{FILE}: not 'test | cause | issue': {line!r}")
        if parts[0] in found:
            raise ValueError(f"{FILE}: twice: {parts[0]}")
        found[parts[0]] = f"{parts[1]} ({parts[2]})"
    if len(found) > MOST:
        raise ValueError(f"{FILE}: {len(found)} tests, {MOST} at most")
    return found


class KnownRed:
    """The hooks, and what they saw."""

    def __init__(self, listed: dict[str, str]) -> None:
        self._listed = listed
        self._red: set[str] = set()
        self._green: set[str] = set()

    @pytest.hookimpl(tryfirst=True)
    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        names = {item.nodeid for item in items}
        files = {name.partition("::")[0] for name in names}
        unknown = [name for name in self._listed if name not in names and name.partition("::")[0] in files]
        unknown += [name for name in self._listed if not Path(name.partition("::")[0]).exists()]
        if unknown:
            raise pytest.UsageError(f"{FILE}: no such test: {', '.join(unknown)}")

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self, item: pytest.Item
    ) -> Generator[None, pytest.TestReport, pytest.TestReport]:
        report = yield
        if item.nodeid in self._listed:
            if report.failed:
                report.outcome, report.wasxfail = "skipped", f"known red: {self._listed[item.nodeid]}"
                self._red.add(item.nodeid)
            elif report.passed and report.when == "call":
                self._green.add(item.nodeid)
        return report

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        for name, why in self._listed.items():
            seen = "failed" if name in self._red else "PASSED, its line can go" if name in self._green else ""
            terminalreporter.write_line(f"known red: {name}: {why}: {seen or 'not run'}")


def pytest_configure(config: pytest.Config) -> None:
    try:
        listed = read(config.rootpath / FILE)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from None
    config.pluginmanager.register(KnownRed(listed), "known-red-tests")
