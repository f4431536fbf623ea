"""Writes the state of this process for the next one, and merges what other processes wrote.

The processes of one sidecar share a folder (``hot_restart.state_files``). Each keeps a file in it with the
cordons, the endpoint list and what the balancer has learnt (``hot_restart.snapshot``).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from indigokeel import clocks
from indigokeel.endpoints.endpoint_list import EndpointList
from indigokeel.hot_restart import snapshot
from indigokeel.hot_restart.snapshot import ClockReading, LearnedState, StateSnapshot
from indigokeel.hot_restart.state_files import StateFiles
from indigokeel.metrics import Counters
from indigokeel.process.cordon_store import CordonStore, StoredCallback
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Effects

_POLL_INTERVAL_S = 0.05  # between two reads of what other processes wrote
_WRITE_INTERVAL_S = 1.0  # between two writes of the own state
_LEARNED_VALID_S = 5.0  # age up to which learned state of another process is used; cordons do not expire
_START_RETRIES = 20  # reads, a poll interval apart, of a folder that fails as the process starts


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What other processes of this sidecar left for a process that starts."""

    known: EndpointList | None = None  # the newest endpoint list
    learned: Any = None  # see ``learned_state``; None where it is too old


@dataclass(slots=True)
class _ReadResult:
    """What one read of the folder found that was not read before."""

    snapshots: list[StateSnapshot] = field(default_factory=list)  # the newest first
    files: int = 0  # unsound ones included
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
        """``execute`` carries out effects; ``list_version`` returns the endpoint list's version."""
        self._files = files
        self._coordinator = coordinator
        self._counters = counters
        self._execute = execute
        self._list_version = list_version
        self._boot = clocks.boot_id()
        self._written_at = -math.inf  # clock time
        self._learned: LearnedState | None = None  # as it was written last
        self._last_write_failed = False
        self._unreadable: set[str] = set()  # names whose read failed last time, for it is logged once
        self._cordon_store = CordonStore(files, coordinator.cordons, self._encode_cordons, counters)

    # --- reading --------------------------------------------------------------------------------------

    async def restore(self) -> RestoredState:
        """Merge and return what was left before this process started, retrying a folder that fails."""
        known: EndpointList | None = None
        learned: LearnedState | None = None
        starts = None
        for _ in range(_START_RETRIES):
            result = self._merge_unread()
            for found in result.snapshots:
                known = known or found.known
                learned = learned or found.learned
                starts = starts or found.starts
            if result.failed:
                await asyncio.sleep(_POLL_INTERVAL_S)
            elif result.files == 0:
                break
        if starts is not None:
            self._coordinator.restore_start_times(starts)
        is_valid = learned is not None and time.monotonic() - learned.at < _LEARNED_VALID_S
        return RestoredState(known, learned.figures if learned is not None and is_valid else None)

    def _merge_unread(self) -> _ReadResult:
        """Read the files that were not read yet, and merge their cordons."""
        try:
            names = self._files.list_unread(time.monotonic())
        except OSError as error:
            self._record_unreadable("", error)
            return _ReadResult(failed=True)
        result = _ReadResult(files=len(names))
        unreadable: set[str] = set()
        for name in names:
            try:
                found = self._files.read(name, self._clock_reading())
            except OSError as error:
                self._record_unreadable(name, error)
                unreadable.add(name)
                continue
            except Exception as error:  # SnapshotError, or a fault of the codec: costs this file alone
                self._record_unreadable(name, error)
                continue
            if found is not None:
                result.snapshots.append(found)
                self._merge_cordons(found)
        if self._files.synced_lost:
            self._cordon_store.invalidate()
        self._cordon_store.notify()
        self._unreadable = unreadable
        result.failed = bool(unreadable)
        return result

    def _merge_cordons(self, found: StateSnapshot) -> None:
        self._execute(self._coordinator.merge_cordons(time.monotonic(), found.records))
        if self._coordinator.cordons.has_newer_than(found.records):
            self._written_at = -math.inf  # written at once

    def _record_unreadable(self, name: str, error: Exception) -> None:
        """Count and log what cannot be read, once as long as that lasts."""
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._counters.add("state_files_unreadable")
            self._counters.log(f"state of the previous process ignored: {error}", "warning")

    def _clock_reading(self) -> ClockReading:
        return ClockReading(time.monotonic(), self._boot, self._coordinator.unix_to_clock)

    # --- writing --------------------------------------------------------------------------------------

    def persist(self, closing: bool = False) -> None:
        """Write the state now.

        While the process closes, its learned state stays as it was before: the failures of requests that are
        cut off say nothing of the upstreams.
        """
        reading = self._clock_reading()
        now = reading.clock
        self._written_at = now
        known = EndpointList(self._list_version(), True, self._coordinator.endpoints())
        if not closing or self._learned is None:
            self._learned = LearnedState(self._coordinator.export_learned_state(now), now)
        records = self._coordinator.cordons.records()
        starts = self._coordinator.export_start_times(now)
        try:
            self._files.write(snapshot.encode(reading, records, known, self._learned, starts))
            self._last_write_failed = False
        except OSError as error:
            self._counters.add("state_files_unwritten")
            if not self._last_write_failed:  # logged once, not each second
                self._counters.log(f"cannot write state for the next process: {error}", "warning")
            self._last_write_failed = True

    def _encode_cordons(self) -> bytes:
        return snapshot.encode(self._clock_reading(), self._coordinator.cordons.records())

    async def synchronise(self, closing: Callable[[], bool]) -> None:
        """Merge what other processes write, and write the own state, until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            try:
                self._merge_unread()
            except Exception as error:  # the own state is written whatever others left
                self._record_unreadable("", error)
            if time.monotonic() - self._written_at > _WRITE_INTERVAL_S:
                self.persist(closing())
                # While the own files are not written, those of other processes may be the only ones.
                if not self._last_write_failed and not self._cordon_store.is_behind():
                    self._files.remove_leftovers(time.monotonic())

    # --- cordons --------------------------------------------------------------------------------------

    def store(self, callback: StoredCallback) -> None:
        """Call ``callback`` with True once all cordons are on disk, or with False after a time limit."""
        self.persist()  # for the next process, should the sync fail or take long
        self._cordon_store.call_when_stored(callback)

    async def keep_stored(self) -> None:
        """Store the cordons whenever they have changed, until cancelled."""
        await self._cordon_store.run()

    async def finish(self, until: float) -> None:
        """Leave the state as the process ends; wait for the cordons until clock time ``until`` at most."""
        self.persist(closing=True)
        await self._cordon_store.finish(until)
