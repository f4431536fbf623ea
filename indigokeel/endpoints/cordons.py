"""Cordons: the upstreams that operators took out of service, as a layer over the endpoint list. No I/O.

Each upstream has at most one record, which states that it was cordoned or that its cordon was lifted. Several
processes of one sidecar may each receive some of the operators' calls. The record with the higher sequence
number wins (a last-writer-wins map), so the processes agree once they have exchanged their records, in any
order. The sequence number of a new record is one more than the highest seen (a Lamport clock), so the order
of two calls does not depend on a clock. Times are those of the monotonic clock, which the processes of one
machine share.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigokeel.balancing.events import EndpointState
from indigokeel.endpoints.endpoint_list import Endpoint

_MAX_RECORDS = 4096  # far more than a fleet has upstreams, so only a fault can reach the limit


@dataclass(frozen=True, slots=True)
class CordonRecord:
    """The latest cordon or uncordon call for one upstream."""

    upstream: str
    cordoned: bool  # False: the cordon was lifted
    called_at: float  # clock time of the call
    called_by: str = "operator"
    expires_at: float = math.inf  # clock time at which the cordon ends without an uncordon call
    sequence: int = 0  # higher than that of every record known when this one was created

    def is_active(self, now: float) -> bool:
        """Return True if the upstream is cordoned now."""
        return self.cordoned and now < self.expires_at


class Cordons:
    """The cordon records of one sidecar."""

    def __init__(self) -> None:
        """Create an empty set of records."""
        self._records: dict[str, CordonRecord] = {}
        self._highest_sequence = 0
        self.revision = 0  # increases with each change of a record

    def cordon(
        self, upstream: str, now: float, called_by: str = "operator", expires_at: float = math.inf
    ) -> bool:
        """Cordon an upstream; return False and change nothing if it is already cordoned."""
        if self.is_active(upstream, now):
            return False
        self._set(CordonRecord(upstream, True, now, called_by, expires_at, self._highest_sequence + 1))
        return True

    def uncordon(self, upstream: str, now: float, called_by: str = "operator") -> bool:
        """Lift the cordon of an upstream; return False if it is not cordoned."""
        if not self.is_active(upstream, now):
            return False
        self._set(CordonRecord(upstream, False, now, called_by, sequence=self._highest_sequence + 1))
        return True

    def is_active(self, upstream: str, now: float) -> bool:
        """Return True if an upstream is cordoned now."""
        record = self._records.get(upstream)
        return record is not None and record.is_active(now)

    def apply(self, endpoint: Endpoint, now: float) -> Endpoint:
        """Return an endpoint as the balancer has to see it: draining if cordoned, whatever its status."""
        if endpoint.state is EndpointState.GONE or not self.is_active(endpoint.name, now):
            return endpoint
        return replace(endpoint, state=EndpointState.DRAINING)

    def lifted_at(self, upstream: str, now: float) -> float:
        """Return the clock time at which a cordon was lifted or expired; 0 if there was none or it is active.

        The upstream counts as started at that time: it was most likely restarted while cordoned, and
        discovery lists the new start time only later.
        """
        record = self._records.get(upstream)
        if record is None or record.is_active(now):
            return 0.0
        return record.expires_at if record.cordoned else record.called_at

    def next_expiry(self, now: float) -> float:
        """Return the clock time at which the next cordon expires; infinity if none does."""
        active = (record.expires_at for record in self._records.values() if record.is_active(now))
        return min(active, default=math.inf)

    def active_records(self, now: float) -> list[CordonRecord]:
        """Return the records of the cordoned upstreams, the longest cordoned first."""
        active = [record for record in self._records.values() if record.is_active(now)]
        return sorted(active, key=lambda record: (record.called_at, record.sequence))

    def records(self) -> list[CordonRecord]:
        """Return all records, to be passed to another process."""
        return list(self._records.values())

    def merge(self, records: Iterable[CordonRecord]) -> list[str]:
        """Merge another process's records; return the names of the upstreams whose record changed."""
        changed = []
        for record in records:
            known = self._records.get(record.upstream)
            if known is None or _precedence(record) > _precedence(known):
                self._set(record)
                changed.append(record.upstream)
        return changed

    def has_newer_than(self, records: Iterable[CordonRecord]) -> bool:
        """Return True if any record here is missing from ``records`` or newer than the one there."""
        other_records = {record.upstream: record for record in records}
        return any(
            record.upstream not in other_records
            or _precedence(other_records[record.upstream]) < _precedence(record)
            for record in self._records.values()
        )

    def _set(self, record: CordonRecord) -> None:
        self._records.pop(record.upstream, None)
        self._records[record.upstream] = record
        self._highest_sequence = max(self._highest_sequence, record.sequence)
        self.revision += 1
        if len(self._records) > _MAX_RECORDS:
            del self._records[self._next_to_evict()]

    def _next_to_evict(self) -> str:
        """Return the upstream whose record is evicted next: the oldest lifted cordon, else the oldest."""
        lifted = (name for name, record in self._records.items() if not record.cordoned)
        return next(lifted, next(iter(self._records)))


def _precedence(record: CordonRecord) -> tuple[int, bool]:
    """Return the sort key of a record: the later call wins; of two concurrent calls, the cordon wins."""
    return record.sequence, record.cordoned
