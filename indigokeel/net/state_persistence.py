"""Writes the state of this process for the next one, and reads what other processes wrote.

The processes of one sidecar share a folder. Each keeps one file in it (``handover_file.py``) with the
operators' cordons, the endpoint list and what the decisions have learnt (``handover.py``).
"""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from indigokeel import handover
from indigokeel.facade import Facade
from indigokeel.handover import Handover, HandoverError, Learned, Moment
from indigokeel.machine_list import MachineList
from indigokeel.net import clocks
from indigokeel.net.counters import Counters
from indigokeel.net.handover_file import HandoverFiles
from indigokeel.orders import Orders

_POLL_INTERVAL_S = 0.05  # between two looks at what other processes wrote
_WRITE_INTERVAL_S = 1.0  # between two writings of the own state
_LEARNED_VALID_S = 5.0  # age up to which learnt figures of another process are used; cordons stay for good
_START_RETRIES = 20  # looks, a poll interval apart, that a process that starts gives a folder that fails


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What other processes of this sidecar left for a process that starts."""

    known: MachineList | None = None  # the newest endpoint list
    learned: Any = None  # see ``learned.py``; None where it is too old


class StatePersistence:
    """The shared state of one process: restored at the start, written and merged while it runs."""

    def __init__(
        self,
        files: HandoverFiles,
        facade: Facade,
        counters: Counters,
        execute: Callable[[Orders], None],
        list_version: Callable[[], int],
    ) -> None:
        """``execute`` carries out what the facade orders; ``list_version`` tells the endpoint list's."""
        self._files = files
        self._facade = facade
        self._counters = counters
        self._execute = execute
        self._list_version = list_version
        self._boot = clocks.boot_id()
        self._written_at = -math.inf  # clock time
        self._learned: Learned | None = None
        self._write_failed = False  # the last time
        self._unreadable: set[str] = set()  # what could not be read the last time, for it is logged once

    async def restore(self) -> RestoredState:
        """What was left before this process started, whose marks are merged. A folder that fails is looked
        at again for a second."""
        known: MachineList | None = None
        learned: Learned | None = None
        starts = None
        for _ in range(_START_RETRIES):
            found, whole = self._merge_unread()
            for each in found:
                known = known or each.known
                learned = learned or each.learned
                starts = starts or each.starts
            if whole and not found:
                break
            if not whole:
                await asyncio.sleep(_POLL_INTERVAL_S)
        if starts is not None:
            self._facade.inherit_starts(starts)
        valid = learned is not None and time.monotonic() - learned.at < _LEARNED_VALID_S
        return RestoredState(known, learned.figures if learned is not None and valid else None)

    def _merge_unread(self) -> tuple[list[Handover], bool]:
        """Merge the marks of what was not read yet. What was in it, newest first, and whether all could be
        read that is there."""
        try:
            names = self._files.fresh(time.monotonic())
        except OSError as error:
            self._tell_unread("", error)
            return [], False
        found = []
        unreadable: set[str] = set()
        for name in names:
            try:
                state = self._files.read(name, self._moment())
            except HandoverError as error:
                self._tell_unread(name, error)
                continue
            except OSError as error:
                self._tell_unread(name, error)
                unreadable.add(name)
                continue
            if state is not None:
                found.append(state)
                self._execute(self._facade.merge(time.monotonic(), state.marks))
                if self._facade.cordons.lacks(state.marks):
                    self._written_at = -math.inf
        self._unreadable = unreadable
        return found, not unreadable

    def _tell_unread(self, name: str, error: Exception) -> None:
        """Count and log what cannot be read, once as long as that lasts."""
        if name not in self._unreadable:
            self._unreadable.add(name)
            self._counters.add("handovers_unread")
            self._counters.log(f"nothing is taken over from the process before: {error}", "warning")

    def _moment(self) -> Moment:
        return Moment(time.monotonic(), self._boot, self._facade.unix_to_clock)

    def persist(self, closing: bool = False) -> None:
        """Write the own state now. While the process closes, what it had learnt stays as it was before: the
        failures of requests that are cut off say nothing of the upstreams."""
        moment = self._moment()
        self._written_at = now = moment.clock
        known = MachineList(self._list_version(), True, self._facade.machines())
        if not closing or self._learned is None:
            self._learned = Learned(self._facade.learned(now), now)
        marks, starts = self._facade.cordons.marks(), self._facade.starts(now)
        try:
            self._files.write(handover.encode(moment, marks, known, self._learned, starts))
            self._write_failed = False
        except OSError as error:
            self._counters.add("handovers_unwritten")
            if not self._write_failed:  # logged once, not each second
                self._counters.log(f"nothing can be left for the next process: {error}", "warning")
            self._write_failed = True

    async def synchronise(self, closing: Callable[[], bool]) -> None:
        """Merge what others write and write the own state, until cancelled."""
        while True:
            await asyncio.sleep(_POLL_INTERVAL_S)
            self._merge_unread()
            if time.monotonic() - self._written_at > _WRITE_INTERVAL_S:
                self.persist(closing())
                if not self._write_failed:
                    self._files.tidy(time.monotonic())
