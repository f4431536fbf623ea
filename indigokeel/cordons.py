"""What operators took out of service, as a layer over the machine list. Pure: the clock is passed in.

Each upstream has at most one mark: taken out, or given back. The mark with the higher sequence number stands,
so that processes of one sidecar that each hear some of the calls agree on all of them once they have
exchanged their marks, in any order (a last-writer-wins map). A new mark's number is one more than the
highest that was seen (a Lamport clock), so that no clock decides which of two calls came later. Times are
those of the monotonic clock, which the processes of one machine share.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigokeel.decision.interface import State
from indigokeel.machine_list import Machine

_MOST = 4096  # marks kept: far more than a fleet has nodes, so that only a fault gets there


@dataclass(frozen=True, slots=True)
class Mark:
    """What was last said of an execute node."""

    who: str  # the node's name
    out: bool  # taken out, else given back
    at: float  # clock time of the call
    by: str = "operator"  # who asked
    until: float = math.inf  # clock time at which a node that is out comes back without a call
    sequence: int = 0  # higher than that of each mark that was known when this one was made

    def holds(self, now: float) -> bool:
        return self.out and now < self.until


class Cordons:
    """The marks of one sidecar."""

    def __init__(self) -> None:
        self._marks: dict[str, Mark] = {}
        self._highest = 0  # sequence number that was seen
        self.revision = 0  # changes with each mark that is new

    def cordon(self, who: str, now: float, by: str = "operator", until: float = math.inf) -> bool:
        """Take a node out; False where it is out already, which then stays as it was."""
        if self.holds(who, now):
            return False
        self._set(Mark(who, True, now, by, until, self._highest + 1))
        return True

    def uncordon(self, who: str, now: float, by: str = "operator") -> bool:
        """Give a node back, however often it was taken out; False where it is not out."""
        if not self.holds(who, now):
            return False
        self._set(Mark(who, False, now, by, sequence=self._highest + 1))
        return True

    def holds(self, who: str, now: float) -> bool:
        """Whether a node is out."""
        mark = self._marks.get(who)
        return mark is not None and mark.holds(now)

    def lay(self, machine: Machine, now: float) -> Machine:
        """The machine as the decisions are to see it: one that is out drains, whatever the list says."""
        if machine.state is State.GONE or not self.holds(machine.name, now):
            return machine
        return replace(machine, state=State.DRAINING)

    def given_back_at(self, who: str, now: float) -> float:
        """When a node was given back, by a call or because its mark ended; 0 where it was not. It counts as
        started then: whoever took it out has most likely restarted it, and the list tells so later."""
        mark = self._marks.get(who)
        if mark is None or mark.holds(now):
            return 0.0
        return mark.until if mark.out else mark.at

    def next_end(self, now: float) -> float:
        """When the next mark ends by itself; infinite where none does."""
        return min((m.until for m in self._marks.values() if m.holds(now)), default=math.inf)

    def out(self, now: float) -> list[Mark]:
        """The marks of the nodes that are out, longest first."""
        return sorted(
            (m for m in self._marks.values() if m.holds(now)), key=lambda mark: (mark.at, mark.sequence)
        )

    def marks(self) -> list[Mark]:
        """All marks, to be told to another process."""
        return list(self._marks.values())

    def merge(self, marks: Iterable[Mark]) -> list[str]:
        """Take in another's marks; the names of the nodes of which something new was said."""
        changed = []
        for mark in marks:
            known = self._marks.get(mark.who)
            if known is None or _order(mark) > _order(known):
                self._set(mark)
                changed.append(mark.who)
        return changed

    def lacks(self, marks: Iterable[Mark]) -> bool:
        """Whether those marks lack something that is known here."""
        theirs = {mark.who: mark for mark in marks}
        return any(
            mark.who not in theirs or _order(theirs[mark.who]) < _order(mark) for mark in self._marks.values()
        )

    def _set(self, mark: Mark) -> None:
        self._marks.pop(mark.who, None)
        self._marks[mark.who] = mark
        self._highest = max(self._highest, mark.sequence)
        self.revision += 1
        if len(self._marks) > _MOST:  # the oldest word on a node that was given back goes first
            back = next((who for who, m in self._marks.items() if not m.out), next(iter(self._marks)))
            del self._marks[back]


def _order(mark: Mark) -> tuple[int, bool]:
    """The later call wins; of two that did not know of each other, the one that keeps the node out."""
    return mark.sequence, mark.out
