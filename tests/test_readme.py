"""The example in README.md runs unchanged and prints the expected output."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent


def test_readme_example() -> None:
    found = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert found is not None
    done = subprocess.run(
        [sys.executable, "-B", "-c", found[1]],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        check=False,
    )
    assert (done.returncode, done.stdout, done.stderr) == (0, "r1 True\nTrue\n", "")
