"""The program with injected faults of the operating system, started like the program itself.

Environment variables select the faults:

``FAULT_WALL_STEP_S``: seconds added to the wall clock, from the start, or once the file named by
``FAULT_WALL_STEP_WHEN`` exists.
``FAULTS``: JSON that maps the name of a call (``open``, ``write``, ``fsync``, ``fsync-folder``, ``rename``,
``unlink``, ``listdir``) to the name of an error and the number of calls that fail. Only calls on files in
the folder ``TMPDIR``, or on the folder itself, fail. With ``HANG`` in place of an error, the call blocks.
``FAULTS_OFF``: once this file exists, no call fails or blocks.
``FAULT_SPIN_WHEN``: once this file exists, one step of the event loop uses ``FAULT_SPIN_S`` seconds of
processor time.
"""

from __future__ import annotations

import errno
import json
import os
import stat
import sys
import time
from collections.abc import Callable
from functools import partial
from typing import Any

from tests import peers

_STEP_S = float(os.environ.get("FAULT_WALL_STEP_S", "0"))


# Starts this module in place of the program; its environment selects the faults.
start = partial(peers.start, module="tests.faulty_program")


def _step_wall_clock(when: str) -> None:
    wall, wall_ns = time.time, time.time_ns

    def step_s() -> float:
        return _STEP_S if not when or os.path.exists(when) else 0.0

    time.time = lambda: wall() + step_s()
    time.time_ns = lambda: wall_ns() + int(step_s() * 1e9)


class Faults:
    """Replacements of system calls of ``os`` that fail as configured."""

    def __init__(self, faults: dict[str, tuple[str, int]], folder: str, off: str = "") -> None:
        self._errors = {name: error for name, (error, _) in faults.items()}
        self._remaining = {name: count for name, (_, count) in faults.items()}
        self._folder, self._off = folder, off

    def install(self, patch: Callable[[Any, str, Any], None] = setattr) -> None:
        for name in ("open", "write", "rename", "unlink", "listdir"):
            patch(os, name, self._wrap(getattr(os, name), lambda *_, n=name: n))
        patch(os, "fsync", self._wrap(os.fsync, self._name_of_sync))

    def _in_folder(self, target: Any) -> bool:
        if isinstance(target, int):
            target = os.readlink(f"/proc/self/fd/{target}")
        return str(os.fspath(target)).startswith(self._folder)

    @staticmethod
    def _name_of_sync(fd: int) -> str:
        return "fsync-folder" if stat.S_ISDIR(os.fstat(fd).st_mode) else "fsync"

    def _wrap(self, call: Callable[..., Any], name: Callable[..., str]) -> Callable[..., Any]:
        def wrapper(*args: Any, **more: Any) -> Any:
            if args and self._in_folder(args[0]):
                self._fail_if_due(name(*args))
            return call(*args, **more)

        return wrapper

    def _fail_if_due(self, name: str) -> None:
        if self._remaining.get(name, 0) <= 0 or self._is_off():
            return
        self._remaining[name] -= 1
        if self._errors[name] == "HANG":
            while not self._is_off():
                time.sleep(0.01)
            return
        number = getattr(errno, self._errors[name])
        raise OSError(number, os.strerror(number))

    def _is_off(self) -> bool:
        return bool(self._off) and os.path.exists(self._off)


def _spin_once(when: str) -> None:
    from indigokeel.requests.coordinator import RequestCoordinator

    sample_lag = RequestCoordinator.sample_lag
    seconds = [float(os.environ["FAULT_SPIN_S"])]

    def spinning_step(self: Any, now: float, lag: float) -> Any:
        if seconds and os.path.exists(when):
            until = time.process_time() + seconds.pop()
            while time.process_time() < until:
                pass
        return sample_lag(self, now, lag)

    RequestCoordinator.sample_lag = spinning_step  # type: ignore[assignment]


def main() -> int:
    if _STEP_S:
        _step_wall_clock(os.environ.get("FAULT_WALL_STEP_WHEN", ""))
    if faults := os.environ.get("FAULTS"):
        Faults(json.loads(faults), os.environ["TMPDIR"], os.environ.get("FAULTS_OFF", "")).install()
    if spin := os.environ.get("FAULT_SPIN_WHEN"):
        _spin_once(spin)
    from indigokeel.__main__ import main as run_program

    return run_program()


if __name__ == "__main__":
    sys.exit(main())
