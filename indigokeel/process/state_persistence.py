"""Writes state snapshots for the next process, and merges those that other processes wrote.

The processes of one sidecar share a folder (``hot_restart.state_files``), in which each keeps a file with the
cordons, the endpoint list and the learned state of its balancer (``hot_restart.snapshot``).
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

_POLL_INTERVAL_S = 0.05  # between reads of the files of other processes
_WRITE_INTERVAL_S = 1.0  # between writes of this process's state
_MAX_LEARNED_AGE_S = 5.0  # older learned state of another process is ignored; cordons do not expire
_MAX_START_READS = 20  # of the folder at startup; a read that fails is retried after a poll interval


@dataclass(frozen=True, slots=True)
class RestoredState:
    """The state that other processes of this sidecar left for a process that starts."""

    known: EndpointList | None = None  # the newest endpoint list
    learned: Any = None  # see ``learned_state``; None if there is none or it is too old


@dataclass(slots=True)
class _ReadResult:
    """The result of one read of the files that had not been read before."""

    snapshots: list[StateSnapshot] = field(default_factory=list)  # newest first
    files: int = 0  # including invalid ones
    failed: bool = False  # the folder or a file in it could not be read


class StatePersistence:
    """Restores the state at startup, and writes it and merges that of other processes while running."""

    def __init__(
        self,
        files: StateFiles,
        coordinator: RequestCoordinator,
        counters: Counters,
        execute: Callable[[Effects], None],
        list_version: Callable[[], int],
    ) -> None:
        """``execute`` carries out effects; ``list_version`` returns the version of the endpoint list."""
        self._files = files
        self._coordinator = coordinator
        self._counters = counters
        self._execute = execute
        self._list_version = list_version
        self._boot = clocks.boot_id()
        self._written_at = -math.inf  # clock time
        self._learned: LearnedState | None = None  # as last written
        self._last_write_failed = False
        # Names of files whose last read failed; a file is logged once while that lasts.
        self._unreadable: set[str] = set()
        self._cordon_store = CordonStore(files, coordinator.cordons, self._encode_cordons, counters)

    # --- reading --------------------------------------------------------------------------------------

    async def restore(self) -> RestoredState:
        """Merge and return the state left by other processes, retrying if it cannot be read."""
        known: EndpointList | None = None
        learned: LearnedState | None = None
        starts = None
        for _ in range(_MAX_START_READS):
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
        is_valid = learned is not None and time.monotonic() - learned.at < _MAX_LEARNED_AGE_S
        return RestoredState(known, learned.figures if learned is not None and is_valid else None)

    def _merge_unread(self) -> _ReadResult:
        """Read the files that have not been read yet, and merge their cordons."""
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
            except Exception as error:  # SnapshotError or a codec fault; only this file is skipped
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
            self._written_at = -math.inf  # write the state without waiting for the interval

    def _record_unreadable(self, name: str, error: Exception) -> None:
        """Count and log a file or folder that cannot be read, once while that lasts."""
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._counters.add("state_files_unreadable")
            self._counters.log(f"state of the previous process ignored: {error}", "warning")

    def _clock_reading(self) -> ClockReading:
        return ClockReading(time.monotonic(), self._boot, self._coordinator.unix_to_clock)

    # --- writing --------------------------------------------------------------------------------------

    def persist(self, closing: bool = False) -> None:
        """Write the state now.

        During a shutdown the learned state written last is kept, because the failures of requests that the
        shutdown cuts off say nothing about the upstreams.
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
            if not self._last_write_failed:  # logged once per series of failures, not every second
                self._counters.log(f"cannot write state for the next process: {error}", "warning")
            self._last_write_failed = True

    def _encode_cordons(self) -> bytes:
        return snapshot.encode(self._clock_reading(), self._coordinator.cordons.records())

    async def synchronise(self, closing: Callable[[], bool]) -> None:
        """Merge the state of other processes and write that of this process, until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            try:
                self._merge_unread()
            except Exception as error:  # this process writes its state even if merging fails
                self._record_unreadable("", error)
            if time.monotonic() - self._written_at > _WRITE_INTERVAL_S:
                self.persist(closing())
                # While this process cannot write its files, those of other processes may be the only copy.
                if not self._last_write_failed and not self._cordon_store.is_behind():
                    self._files.remove_leftovers(time.monotonic())

    # --- cordons --------------------------------------------------------------------------------------

    def store_cordons(self, callback: StoredCallback) -> None:
        """Call ``callback`` with True once all cordons are on disk, or with False after a time limit."""
        self.persist()  # for the next process, in case the sync fails or takes long
        self._cordon_store.call_when_stored(callback)

    async def keep_cordons_stored(self) -> None:
        """Store the cordons whenever they have changed, until cancelled."""
        await self._cordon_store.run()

    async def finish(self, until: float) -> None:
        """Write the state at the end of the process; wait for the cordons until clock time ``until``."""
        self.persist(closing=True)
        await self._cordon_store.finish(until)
