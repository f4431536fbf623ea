"""The list of tests known to fail: only these may fail, and each error of the list is reported."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import LINE_FORMAT
from tests.peers import ROOT

TESTS = """
import pytest

def test_good(): pass
def test_bad(): assert False
def test_worse(): raise OSError("odd")

@pytest.fixture
def broken(): raise ValueError

def test_set_up(broken): pass

@pytest.mark.parametrize("n", [1, 2])
def test_each(n): assert n == 1
"""
BAD_LINE = "tests/test_it.py::test_bad | pytest -k bad, no seed | a cause | issue 30"
OTHER_LINES = [
    f"tests/test_it.py::{name} | pytest -k {name} | a cause | issue 30"
    for name in ("test_worse", "test_set_up", "test_each[2]")
]


def run(tmp: Path, text: str | None, *more: str) -> tuple[int, str]:
    (tmp / "tests").mkdir()
    (tmp / "tests" / "test_it.py").write_text(TESTS)
    (tmp / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    if text is not None:
        (tmp / "KNOWN-RED.txt").write_text(text)
    done = subprocess.run(
        [
            sys.executable,
            "-B",
            "-m",
            "pytest",
            "-q",
            "-p",
            "no:cacheprovider",
            "-p",
            "tests.known_red",
            *more,
        ],
        cwd=tmp,
        env={**os.environ, "PYTHONPATH": str(ROOT), "CI": "true"},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


@pytest.mark.parametrize("text", [None, "", "\n\n"])
def test_missing_or_empty_list_expects_no_failure(tmp_path: Path, text: str | None) -> None:
    code, output = run(tmp_path, text)
    assert code == 1 and "3 failed, 2 passed, 1 error" in output and "known red" not in output


def test_only_listed_failures_are_expected_and_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, "\n".join([BAD_LINE, *OTHER_LINES[:2]]))
    assert code == 1 and "1 failed, 2 passed, 3 xfailed" in output  # test_each[2] is not listed
    for name in ("test_bad", "test_worse", "test_set_up"):
        assert f"known red: tests/test_it.py::{name}: a cause (issue 30; pytest " in output
        assert ": failed" in next(line for line in output.splitlines() if f"::{name}: a cause" in line)


def test_run_passes_if_all_failing_tests_are_listed(tmp_path: Path) -> None:
    code, output = run(tmp_path, "\n".join([BAD_LINE, OTHER_LINES[2]]), "-k", "good or bad or each")
    assert code == 0 and "2 passed" in output and "2 xfailed" in output


def test_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    code, output = run(tmp_path, "tests/test_it.py::test_good | pytest | a cause | issue 30", "-k", "good")
    assert code == 0 and "test_good: a cause (issue 30; pytest): PASSED, its line can be removed" in output


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("\n".join([BAD_LINE, *OTHER_LINES]), "4 tests listed, at most 3 allowed"),
        ("tests/test_it.py::test_bad", f"expected '{LINE_FORMAT}'"),
        ("tests/test_it.py::test_bad | a cause | issue 30", f"expected '{LINE_FORMAT}'"),
        ("tests/test_it.py::test_bad | pytest | | issue 30", f"expected '{LINE_FORMAT}'"),
        ("tests/test_it.py::test_bad | pytest | a cause | ", f"expected '{LINE_FORMAT}'"),
        (f"{BAD_LINE}\n{BAD_LINE}", "listed twice"),
        ("tests/test_it.py::test_gone | pytest | a cause | issue 30", "no such test"),
        (
            "tests/test_it.py::test_each | pytest | a cause | issue 30",
            "no such test",
        ),  # each parametrized case needs its own line
        ("tests/test_gone.py::test_bad | pytest | a cause | issue 30", "no such test"),
        ("test_bad | pytest | a cause | issue 30", "no such test"),
    ],
)
def test_malformed_list_fails_the_run(tmp_path: Path, text: str, message: str) -> None:
    code, output = run(tmp_path, text)
    assert code not in (0, 1) and message in output
