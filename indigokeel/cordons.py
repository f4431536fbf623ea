"""What operators took out of service, as a layer over the machine list. Pure: the clock is passed in.

Each execute node has at most one mark: taken out at some time, or given back at some time. The mark with
the later stamp stands, so that processes of one sidecar that each hear some of the calls agree on all of
them once they have exchanged their marks, in any order (a last-writer-wins map). Times are Unix seconds, the
machine list's own.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigokeel.decision.interface import State
from indigokeel.machine_list import Machine

_MOST = 4096  # marks kept: far more than a fleet has nodes, so that only a fault gets there
_STEP = 1e-6  # s by which a mark is later than the one it follows, whatever the clock did meanwhile


@dataclass(frozen=True, slots=True)
class Mark:
    """What was last said of an execute node."""

    who: str  # the node's name
    out: bool  # taken out, else given back
    at: float  # Unix seconds
    by: str = "operator"  # who asked
    until: float = math.inf  # Unix seconds at which a node that is out comes back without a call

    def holds(self, now: float) -> bool:
        return self.out and now < self.until


class Cordons:
    """The marks of one sidecar."""

    def __init__(self) -> None:
        self._marks: dict[str, Mark] = {}

    def cordon(self, who: str, now: float, by: str = "operator", until: float = math.inf) -> bool:
        """Take a node out; False where it is out already, which then stays as it was."""
        if self.holds(who, now):
            return False
        self._set(Mark(who, True, self._stamp(who, now), by, until))
        return True

    def uncordon(self, who: str, now: float, by: str = "operator") -> bool:
        """Give a node back, however often it was taken out; False where it is not out."""
        if not self.holds(who, now):
            return False
        self._set(Mark(who, False, self._stamp(who, now), by))
        return True

    def holds(self, who: str, now: float) -> bool:
        """Whether a node is out."""
        mark = self._marks.get(who)
        return mark is not None and mark.holds(now)

    def lay(self, machine: Machine, now: float) -> Machine:
        """The machine as the decisions are to see it: one that is out drains, whatever the list says; one
        that was given back counts as started then, for whoever took it out has most likely restarted it
        and the list tells so seconds later."""
        mark = self._marks.get(machine.name)
        if mark is None or machine.state is State.GONE:
            return machine
        if mark.holds(now):
            return replace(machine, state=State.DRAINING)
        return replace(machine, since=max(machine.since, mark.until if mark.out else mark.at))

    def next_end(self, now: float) -> float:
        """When the next mark ends by itself, in Unix seconds; infinite where none does."""
        return min((m.until for m in self._marks.values() if m.holds(now)), default=math.inf)

    def out(self, now: float) -> list[Mark]:
        """The marks of the nodes that are out, longest first."""
        return sorted((m for m in self._marks.values() if m.holds(now)), key=lambda mark: mark.at)

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

    def _stamp(self, who: str, now: float) -> float:
        known = self._marks.get(who)
        return now if known is None else max(now, known.at + _STEP)

    def _set(self, mark: Mark) -> None:
        self._marks.pop(mark.who, None)
        self._marks[mark.who] = mark
        if len(self._marks) > _MOST:  # the oldest word on a node that was given back goes first
            back = next((who for who, m in self._marks.items() if not m.out), next(iter(self._marks)))
            del self._marks[back]


def _order(mark: Mark) -> tuple[float, bool]:
    """Later wins; at one and the same moment the node stays out."""
    return mark.at, mark.out
