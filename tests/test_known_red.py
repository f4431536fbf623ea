"""The list of tests known to fail: only these are passed over, and every fault of the list is reported."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import FORM
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
BAD = "tests/test_it.py::test_bad | pytest -k bad, no seed | a cause | issue 30"
REST = [
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
def test_nothing_is_listed_and_nothing_passed_over(tmp_path: Path, text: str | None) -> None:
    code, output = run(tmp_path, text)
    assert code == 1 and "3 failed, 2 passed, 1 error" in output and "known red" not in output


def test_listed_ones_alone_are_passed_over_and_printed(tmp_path: Path) -> None:
    code, output = run(tmp_path, "\n".join([BAD, *REST[:2]]))
    assert code == 1 and "1 failed, 2 passed, 3 xfailed" in output  # for the fourth is not listed
    for name in ("test_bad", "test_worse", "test_set_up"):
        assert f"known red: tests/test_it.py::{name}: a cause (issue 30; pytest " in output
        assert ": failed" in next(line for line in output.splitlines() if f"::{name}: a cause" in line)


def test_run_passes_where_all_that_fail_are_listed(tmp_path: Path) -> None:
    code, output = run(tmp_path, "\n".join([BAD, REST[2]]), "-k", "good or bad or each")
    assert code == 0 and "2 passed" in output and "2 xfailed" in output


def test_listed_test_that_passes_is_reported(tmp_path: Path) -> None:
    code, output = run(tmp_path, "tests/test_it.py::test_good | pytest | a cause | issue 30", "-k", "good")
    assert code == 0 and "test_good: a cause (issue 30; pytest): PASSED, its line can go" in output


@pytest.mark.parametrize(
    ("text", "word"),
    [
        ("\n".join([BAD, *REST]), "4 tests, 3 at most"),
        ("tests/test_it.py::test_bad", f"not '{FORM}'"),
        ("tests/test_it.py::test_bad | a cause | issue 30", f"not '{FORM}'"),
        ("tests/test_it.py::test_bad | pytest | | issue 30", f"not '{FORM}'"),
        ("tests/test_it.py::test_bad | pytest | a cause | ", f"not '{FORM}'"),
        (f"{BAD}\n{BAD}", "twice"),
        ("tests/test_it.py::test_gone | pytest | a cause | issue 30", "no such test"),
        (
            "tests/test_it.py::test_each | pytest | a cause | issue 30",
            "no such test",
        ),  # not for all its cases at once
        ("tests/test_gone.py::test_bad | pytest | a cause | issue 30", "no such test"),
        ("test_bad | pytest | a cause | issue 30", "no such test"),
    ],
)
def test_fault_of_the_list_fails_the_run(tmp_path: Path, text: str, word: str) -> None:
    code, output = run(tmp_path, text)
    assert code not in (0, 1) and word in output
