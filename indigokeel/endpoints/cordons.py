"""Cordons: the upstreams that operators took out of service, as a layer over the endpoint list. No I/O.

Each upstream has at most one record: cordoned, or the cordon lifted. The record with the higher sequence
number wins, so that processes of one sidecar that each receive some of the calls agree on all of them once
they have exchanged their records, in any order (a last-writer-wins map). A new record's number is one more
than the highest seen (a Lamport clock), so that no clock decides which of two calls was later. Times are
those of the monotonic clock, which the processes of one machine share.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

from indigokeel.balancing.events import EndpointState
from indigokeel.endpoints.endpoint_list import Endpoint

_MAX_RECORDS = 4096  # far more than a fleet has upstreams, so that only a fault reaches it


@dataclass(frozen=True, slots=True)
class CordonRecord:
    """The latest call on one upstream."""

    upstream: str
    cordoned: bool  # else the cordon was lifted
    called_at: float  # clock time
    called_by: str = "operator"
    expires_at: float = math.inf  # clock time at which a cordon ends without a call
    sequence: int = 0  # higher than that of each record that was known when this one was made

    def is_active(self, now: float) -> bool:
        """Return True if the upstream is cordoned now."""
        return self.cordoned and now < self.expires_at


class Cordons:
    """The records of one sidecar."""

    def __init__(self) -> None:
        """Start without a record."""
        self._records: dict[str, CordonRecord] = {}
        self._highest_sequence = 0
        self.revision = 0  # changes with each new record

    def cordon(
        self, upstream: str, now: float, called_by: str = "operator", expires_at: float = math.inf
    ) -> bool:
        """Cordon an upstream; return False, and change nothing, if it is cordoned already."""
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
        """Return an endpoint as the balancer is to see it: a cordoned one drains, whatever the list says."""
        if endpoint.state is EndpointState.GONE or not self.is_active(endpoint.name, now):
            return endpoint
        return replace(endpoint, state=EndpointState.DRAINING)

    def lifted_at(self, upstream: str, now: float) -> float:
        """Return the clock time at which a cordon was lifted or expired, 0 if none was or it is active.

        The upstream counts as started then: most likely it was restarted, and discovery lists that later.
        """
        record = self._records.get(upstream)
        if record is None or record.is_active(now):
            return 0.0
        return record.expires_at if record.cordoned else record.called_at

    def next_expiry(self, now: float) -> float:
        """Return the clock time at which the next cordon expires, or infinity."""
        active = (record.expires_at for record in self._records.values() if record.is_active(now))
        return min(active, default=math.inf)

    def active_records(self, now: float) -> list[CordonRecord]:
        """Return the records of the cordoned upstreams, the longest cordoned first."""
        active = [record for record in self._records.values() if record.is_active(now)]
        return sorted(active, key=lambda record: (record.called_at, record.sequence))

    def records(self) -> list[CordonRecord]:
        """Return all records, for another process."""
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
        """Return True if a record here is missing among these, or newer than theirs."""
        theirs = {record.upstream: record for record in records}
        return any(
            record.upstream not in theirs or _precedence(theirs[record.upstream]) < _precedence(record)
            for record in self._records.values()
        )

    def _set(self, record: CordonRecord) -> None:
        self._records.pop(record.upstream, None)
        self._records[record.upstream] = record
        self._highest_sequence = max(self._highest_sequence, record.sequence)
        self.revision += 1
        if len(self._records) > _MAX_RECORDS:
            del self._records[self._least_needed()]

    def _least_needed(self) -> str:
        """Return the upstream whose record is dropped first: the oldest one of a lifted cordon."""
        lifted = (name for name, record in self._records.items() if not record.cordoned)
        return next(lifted, next(iter(self._records)))


def _precedence(record: CordonRecord) -> tuple[int, bool]:
    """Order records: the later call wins, and of two that were made independently, the cordon."""
    return record.sequence, record.cordoned
