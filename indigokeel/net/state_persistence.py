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
from indigokeel.handover import HandoverError
from indigokeel.machine_list import MachineList
from indigokeel.net.counters import Counters
from indigokeel.net.handover_file import HandoverFiles
from indigokeel.orders import Orders

_POLL_INTERVAL_S = 0.05  # between two looks at what other processes wrote
_WRITE_INTERVAL_S = 1.0  # between two writings of the own state
_LEARNED_VALID_S = 5.0  # age up to which learnt figures of another process are used; cordons stay for good


@dataclass(frozen=True, slots=True)
class RestoredState:
    """What other processes of this sidecar left for a process that starts."""

    known: MachineList | None  # the newest endpoint list
    learned: Any  # see ``learned.py``; None where it is too old


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
        self._written_at = -math.inf
        self._listed_at = 0.0
        self._write_failed = False  # the last time

    def note_list(self) -> None:
        """The endpoint list was heard of just now."""
        self._listed_at = time.time()

    def restore(self) -> RestoredState:
        """Merge the cordons that other processes left since the last call."""
        known, learned = None, None
        for name in self._files.fresh():
            try:
                found = self._files.read(name, time.time())
            except (HandoverError, OSError) as error:
                self._counters.add("handovers_unread")
                self._counters.log(f"nothing is taken over from the process before: {error}", "warning")
                continue
            if found is None:
                continue
            self._execute(self._facade.merge(time.monotonic(), found.marks))
            if self._facade.cordons.lacks(found.marks):
                self._written_at = -math.inf
            if known is None:
                known = found.known
                if time.time() - found.at < _LEARNED_VALID_S:
                    learned = found.learned
        return RestoredState(known, learned)

    def persist(self) -> None:
        """Write the own state now."""
        now = self._written_at = time.time()
        known = MachineList(self._list_version(), True, self._facade.machines())
        learned = self._facade.learned(time.monotonic())
        marks = self._facade.cordons.marks()
        try:
            self._files.write(handover.encode(now, marks, known, self._listed_at, learned))
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
            self.restore()
            if self._written_at < 0.0 or (
                time.time() - self._written_at > _WRITE_INTERVAL_S and not closing()
            ):
                self.persist()
                self._files.tidy()
