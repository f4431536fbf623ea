"""Writes the state of this process for the next one, and reads what other processes wrote.

The processes of one sidecar share a folder. Each keeps its files in it (``handover_file.py``) with the
operators' cordons, the endpoint list and what the decisions have learnt (``snapshot.py``).

The marks of operators' calls, and those taken over from other processes, are stored on disk as well, synced,
in a thread of its own for each try: a sync takes as long as the disk is busy. Where the folder fails, it is
tried again until the marks are stored, while the process ends too.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import signal
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from indigokeel import clocks
from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.snapshot import ClockReading, LearnedState, StateSnapshot
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects

_POLL_INTERVAL_S = 0.05  # between two looks at what other processes wrote
_WRITE_INTERVAL_S = 1.0  # between two writings of the own state
_LEARNED_VALID_S = 5.0  # age up to which learnt figures of another process are used; cordons stay for good
_ANSWER_WITHIN_S = 2.0  # in which an operator is told; the whole call may take 5 s
_RETRY_FIRST_S, _RETRY_MOST_S = 0.05, 0.5  # between two tries to store marks; doubled by each that fails
_NEVER_STORED = -1  # no revision
_START_RETRIES = 20  # looks, a poll interval apart, that a process that starts gives a folder that fails


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What other processes of this sidecar left for a process that starts."""

    known: EndpointList | None = None  # the newest endpoint list
    learned: Any = None  # see ``learned.py``; None where it is too old


@dataclass(frozen=True, slots=True)
class _Look:
    """What one look at the folder found that was not read before."""

    found: tuple[StateSnapshot, ...] = ()  # newest first
    files: int = 0  # also those that count for nothing
    failed: bool = False  # the folder or a file in it could not be read just now


class StatePersistence:
    """The shared state of one process: restored at the start, written and merged while it runs."""

    def __init__(
        self,
        files: StateFiles,
        coordinator: RequestCoordinator,
        counters: Counters,
        execute: Callable[[Effects], None],
        list_version: Callable[[], int],
    ) -> None:
        """``execute`` carries out what the coordinator orders; ``list_version`` tells the endpoint list's."""
        self._files = files
        self._coordinator = coordinator
        self._counters = counters
        self._execute = execute
        self._list_version = list_version
        self._boot = clocks.boot_id()
        self._written_at = -math.inf  # clock time
        self._learned: LearnedState | None = None
        self._write_failed = False  # the last time
        self._stored_revision = coordinator.cordons.revision
        self._store_failed = False  # the last time
        self._marks_changed = asyncio.Event()
        self._told_when_stored: dict[int, Callable[[bool], None]] = {}  # operators' calls, by serial number
        self._calls = 0
        self._unreadable: set[str] = set()  # what could not be read the last time, for it is logged once

    async def restore(self) -> RestoredState:
        """What was left before this process started, whose marks are merged. A folder that fails is looked
        at again for a second."""
        known: EndpointList | None = None
        learned: LearnedState | None = None
        starts = None
        for _ in range(_START_RETRIES):
            look = self._merge_unread()
            for each in look.found:
                known = known or each.known
                learned = learned or each.learned
                starts = starts or each.starts
            if look.failed:
                await asyncio.sleep(_POLL_INTERVAL_S)
            elif look.files == 0:
                break
        if starts is not None:
            self._coordinator.restore_start_times(starts)
        valid = learned is not None and time.monotonic() - learned.at < _LEARNED_VALID_S
        return RestoredState(known, learned.figures if learned is not None and valid else None)

    def _merge_unread(self) -> _Look:
        """Merge the marks of what was not read yet."""
        try:
            names = self._files.fresh(time.monotonic())
        except OSError as error:
            self._tell_unread("", error)
            return _Look(failed=True)
        found = []
        unreadable: set[str] = set()
        for name in names:
            try:
                state = self._files.read(name, self._clock_reading())
            except OSError as error:
                self._tell_unread(name, error)
                unreadable.add(name)
                continue
            except Exception as error:  # HandoverError, or a fault of the codec: costs this file alone
                self._tell_unread(name, error)
                continue
            if state is not None:
                found.append(state)
                self._execute(self._coordinator.merge_cordons(time.monotonic(), state.records))
                if self._coordinator.cordons.lacks(state.records):
                    self._written_at = -math.inf
        if self._files.synced_lost:
            self._stored_revision = _NEVER_STORED
        if self._owed():
            self._marks_changed.set()
        self._unreadable = unreadable
        return _Look(tuple(found), len(names), bool(unreadable))

    def _tell_unread(self, name: str, error: Exception) -> None:
        """Count and log what cannot be read, once as long as that lasts."""
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._counters.add("state_files_unreadable")
            self._counters.log(f"nothing is taken over from the process before: {error}", "warning")

    def _clock_reading(self) -> ClockReading:
        return ClockReading(time.monotonic(), self._boot, self._coordinator.unix_to_clock)

    def persist(self, closing: bool = False) -> None:
        """Write the own state now. While the process closes, what it had learnt stays as it was before: the
        failures of requests that are cut off say nothing of the upstreams."""
        clock_reading = self._clock_reading()
        self._written_at = now = clock_reading.clock
        known = EndpointList(self._list_version(), True, self._coordinator.endpoints())
        if not closing or self._learned is None:
            self._learned = LearnedState(self._coordinator.export_learned_state(now), now)
        records, starts = self._coordinator.cordons.records(), self._coordinator.export_start_times(now)
        try:
            self._files.write(snapshot.encode(clock_reading, records, known, self._learned, starts))
            self._write_failed = False
        except OSError as error:
            self._counters.add("state_files_unwritten")
            if not self._write_failed:  # logged once, not each second
                self._counters.log(f"nothing can be left for the next process: {error}", "warning")
            self._write_failed = True

    async def synchronise(self, closing: Callable[[], bool]) -> None:
        """Merge what others write and write the own state, until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            try:
                self._merge_unread()
            except Exception as error:  # the own state is written whatever others left
                self._tell_unread("", error)
            if time.monotonic() - self._written_at > _WRITE_INTERVAL_S:
                self.persist(closing())
                if not self._write_failed and not self._owed():  # else others' files may be the only ones
                    self._files.tidy(time.monotonic())

    # --- marks on disk --------------------------------------------------------------------------------

    def store(self, told: Callable[[bool], None]) -> None:
        """Call ``told`` with True once all marks are on disk, or with False when an operator has waited long
        enough; they are stored later all the same."""
        self.persist()  # the next process is bound by it also where a sync fails or takes its time
        self._calls += 1
        self._told_when_stored[self._calls] = told
        self._marks_changed.set()
        if self._owed():
            asyncio.get_running_loop().call_later(_ANSWER_WITHIN_S, self._answer, self._calls, False)
        else:
            self._answer(self._calls, True)

    async def keep_stored(self) -> None:
        """Store the marks whenever they have changed, until cancelled."""
        pause = _RETRY_FIRST_S
        while True:
            if not self._owed():
                for call in list(self._told_when_stored):
                    self._answer(call, True)
                self._marks_changed.clear()
                await self._marks_changed.wait()
            elif await self._try_to_store():
                pause = _RETRY_FIRST_S
            else:
                await asyncio.sleep(pause)
                pause = min(pause * 2.0, _RETRY_MOST_S)

    async def finish(self, until: float) -> None:
        """The process ends: leave its state, and go on storing marks until clock time ``until`` at most."""
        self.persist(closing=True)
        while self._owed() and time.monotonic() < until:
            await asyncio.sleep(0.01)
        if self._owed():
            self._counters.log("cordons are not on disk as the process ends", "error")

    def _owed(self) -> bool:
        """Whether a mark is not on disk yet."""
        return self._stored_revision != self._coordinator.cordons.revision

    def _answer(self, call: int, stored: bool) -> None:
        told = self._told_when_stored.pop(call, None)
        if told is not None:
            told(stored)

    async def _try_to_store(self) -> bool:
        """Put all marks on disk; False where that fails."""
        cordons = self._coordinator.cordons
        revision, data = cordons.revision, snapshot.encode(self._clock_reading(), cordons.records())
        name = self._files.reserve()
        try:
            await _in_thread(lambda: self._files.put(name, data, synced=True))
        except (OSError, RuntimeError) as error:  # the latter where no thread can be started
            self._files.give_up(name)
            self._counters.add("cordons_not_stored")
            if not self._store_failed:  # logged once, not each time
                self._counters.log(f"cordons are not on disk, which is tried again: {error}", "warning")
            self._store_failed = True
            return False
        self._files.adopt(name, synced=True)
        self._stored_revision = revision
        if self._store_failed:
            self._counters.log("cordons are on disk")
        self._store_failed = False
        return True


async def _in_thread(call: Callable[[], None]) -> None:
    """Run a call in a thread of its own. No signal is delivered there, and a thread that the disk holds up
    does not hold up the end of the process."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[None] = loop.create_future()

    def finish(error: OSError | None) -> None:
        if done.done():  # cancelled
            return
        if error is None:
            done.set_result(None)
        else:
            done.set_exception(error)

    def run() -> None:
        failed: OSError | None = None
        try:
            call()
        except OSError as error:
            failed = error
        with contextlib.suppress(RuntimeError):  # the loop has ended
            loop.call_soon_threadsafe(finish, failed)

    before = signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())
    try:
        threading.Thread(target=run, name="store", daemon=True).start()
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
    await done
