"""What operators took out of service, as a layer over the endpoint list. Pure: the clock is passed in.

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

from indigokeel.balancing.events import EndpointState
from indigokeel.endpoints.endpoint_list import Endpoint

_MOST = 4096  # marks kept: far more than a fleet has upstreams, so that only a fault gets there


@dataclass(frozen=True, slots=True)
class CordonRecord:
    """What was last said of an upstream."""

    who: str  # the upstream's name
    out: bool  # taken out, else given back
    at: float  # clock time of the call
    by: str = "operator"  # who asked
    until: float = math.inf  # clock time at which an upstream that is out comes back without a call
    sequence: int = 0  # higher than that of each mark that was known when this one was made

    def holds(self, now: float) -> bool:
        return self.out and now < self.until


class Cordons:
    """The marks of one sidecar."""

    def __init__(self) -> None:
        self._records: dict[str, CordonRecord] = {}
        self._highest = 0  # sequence number that was seen
        self.revision = 0  # changes with each mark that is new

    def cordon(self, who: str, now: float, by: str = "operator", until: float = math.inf) -> bool:
        """Take an upstream out; False where it is out already, which then stays as it was."""
        if self.holds(who, now):
            return False
        self._set(CordonRecord(who, True, now, by, until, self._highest + 1))
        return True

    def uncordon(self, who: str, now: float, by: str = "operator") -> bool:
        """Give an upstream back, however often it was taken out; False where it is not out."""
        if not self.holds(who, now):
            return False
        self._set(CordonRecord(who, False, now, by, sequence=self._highest + 1))
        return True

    def holds(self, who: str, now: float) -> bool:
        """Whether an upstream is out."""
        record = self._records.get(who)
        return record is not None and record.holds(now)

    def lay(self, endpoint: Endpoint, now: float) -> Endpoint:
        """The machine as the decisions are to see it: one that is out drains, whatever the list says."""
        if endpoint.state is EndpointState.GONE or not self.holds(endpoint.name, now):
            return endpoint
        return replace(endpoint, state=EndpointState.DRAINING)

    def given_back_at(self, who: str, now: float) -> float:
        """When an upstream was given back, by a call or because its mark ended; 0 where it was not. It counts
        as started then: whoever took it out has most likely restarted it, and the list tells so later."""
        record = self._records.get(who)
        if record is None or record.holds(now):
            return 0.0
        return record.until if record.out else record.at

    def next_end(self, now: float) -> float:
        """When the next mark ends by itself; infinite where none does."""
        return min((m.until for m in self._records.values() if m.holds(now)), default=math.inf)

    def out(self, now: float) -> list[CordonRecord]:
        """The marks of the upstreams that are out, longest first."""
        return sorted(
            (m for m in self._records.values() if m.holds(now)),
            key=lambda record: (record.at, record.sequence),
        )

    def records(self) -> list[CordonRecord]:
        """All marks, to be told to another process."""
        return list(self._records.values())

    def merge(self, records: Iterable[CordonRecord]) -> list[str]:
        """Take in another's marks; the names of the upstreams of which something new was said."""
        changed = []
        for record in records:
            known = self._records.get(record.who)
            if known is None or _order(record) > _order(known):
                self._set(record)
                changed.append(record.who)
        return changed

    def lacks(self, records: Iterable[CordonRecord]) -> bool:
        """Whether those marks lack something that is known here."""
        theirs = {record.who: record for record in records}
        return any(
            record.who not in theirs or _order(theirs[record.who]) < _order(record)
            for record in self._records.values()
        )

    def _set(self, record: CordonRecord) -> None:
        self._records.pop(record.who, None)
        self._records[record.who] = record
        self._highest = max(self._highest, record.sequence)
        self.revision += 1
        if len(self._records) > _MOST:  # the oldest word on an upstream that was given back goes first
            back = next((who for who, m in self._records.items() if not m.out), next(iter(self._records)))
            del self._records[back]


def _order(record: CordonRecord) -> tuple[int, bool]:
    """The later call wins; of two that did not know of each other, the one that keeps the upstream out."""
    return record.sequence, record.out
