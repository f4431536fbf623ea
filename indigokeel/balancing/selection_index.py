"""An index over many upstreams: lists to sample from, with the sums that a weighted choice needs.

Each member is in one of two partitions, available or busy. The sums of a partition are updated whenever a
member is added, changed or removed. They are kept as integers in units of 2**-32, so they are exact and no
rounding error accumulates. A member's weight is recomputed when the member was marked as changed, when its
oldest load report expires, or on request.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable
from itertools import count

from indigokeel.balancing.upstream_state import UpstreamState

_FIXED_POINT_SCALE = float(1 << 32)


class Partition:
    """The members of one partition, as a list to sample from, and the sums over them."""

    __slots__ = ("_rate_sum", "_weight_sum", "members", "open_attempts", "reporting_count", "warm_count")

    def __init__(self) -> None:
        self.members: list[UpstreamState] = []
        self._rate_sum = 0
        self._weight_sum = 0
        self.reporting_count = 0  # members with load reports
        self.warm_count = 0
        self.open_attempts = 0

    def mean_rate(self) -> float:
        """Return the mean of rate / relative capacity over the reporting members, or 0.0 without any."""
        return self._rate_sum / _FIXED_POINT_SCALE / self.reporting_count if self.reporting_count else 0.0

    def weight_sum(self) -> float:
        """Return the sum of the members' weights."""
        return self._weight_sum / _FIXED_POINT_SCALE

    def add(self, contribution: _Contribution, sign: int) -> None:
        """Add (1) or subtract (-1) the contribution of one member to the sums."""
        self._rate_sum += sign * contribution.rate
        self._weight_sum += sign * contribution.weight
        self.reporting_count += sign * contribution.reporting
        self.warm_count += sign * contribution.warm
        self.open_attempts += sign * contribution.open_attempts


class _Contribution:
    """What a member adds to the sums of its partition, and its position there."""

    __slots__ = ("open_attempts", "partition", "position", "rate", "reporting", "warm", "weight")

    def __init__(self, partition: Partition) -> None:
        self.partition = partition
        self.position = -1
        self.rate = 0
        self.weight = 0
        self.reporting = 0
        self.warm = 0
        self.open_attempts = 0

    def copy_from(self, upstream: UpstreamState) -> None:
        """Copy the current figures of an upstream."""
        self.reporting = int(upstream.rate >= 0.0)
        if self.reporting:
            self.rate = int(upstream.rate / upstream.relative_capacity * _FIXED_POINT_SCALE)
        else:
            self.rate = 0
        self.weight = int(upstream.weight * _FIXED_POINT_SCALE)
        self.warm = int(upstream.warm_up_weight >= 1.0)
        self.open_attempts = upstream.open_attempts


class SelectionIndex:
    """A set of upstreams that weighted sampling can choose from."""

    def __init__(
        self, update_weight: Callable[[float, UpstreamState], None], busy_utilisation: float
    ) -> None:
        """Create an empty index.

        ``update_weight`` recomputes the weight of an upstream and the figures it is derived from. An upstream
        with a utilisation above ``busy_utilisation`` is busy.
        """
        self._update_weight = update_weight
        self._busy_utilisation = busy_utilisation
        self._contributions: dict[UpstreamState, _Contribution] = {}
        # A heap of the members, by the time at which the oldest load report of each expires.
        self._expiries: list[tuple[float, int, UpstreamState]] = []
        self._in_expiries: set[UpstreamState] = set()
        self._serial = count()
        self._changed: dict[UpstreamState, None] = {}
        self.available = Partition()
        self.busy = Partition()
        self.max_weight = 0.0  # an upper bound of the members' weights

    def __len__(self) -> int:
        return len(self._contributions)

    def replace(self, now: float, members: Iterable[UpstreamState]) -> None:
        """Make the index consist of these members."""
        wanted = dict.fromkeys(members)
        for upstream in [u for u in self._contributions if u not in wanted]:
            contribution = self._contributions.pop(upstream)
            upstream.listener = None
            self._remove(upstream, contribution)
            self._changed.pop(upstream, None)
        for upstream in wanted:
            if upstream not in self._contributions:
                upstream.listener = self
                if now >= upstream.weight_valid_until:
                    self._update_weight(now, upstream)
                contribution = _Contribution(self._partition_of(upstream))
                self._contributions[upstream] = contribution
                self._insert(upstream, contribution)
        self.max_weight = max((u.weight for u in self._contributions), default=0.0)

    def refresh(self, now: float) -> None:
        """Update, once each, the members that changed and those with an expired load report.

        Changes and expiries that these updates cause are left for the next refresh.
        """
        for upstream in self._take_changed():
            self.update(now, upstream)
        for upstream in self._take_expired(now):
            if upstream.listener is self:
                self.update(now, upstream)

    def update(self, now: float, upstream: UpstreamState) -> None:
        """Recompute the weight of a member and move it to the partition it belongs to."""
        self._update_weight(now, upstream)
        contribution = self._contributions[upstream]
        partition = self._partition_of(upstream)
        if partition is contribution.partition:
            partition.add(contribution, -1)
            contribution.copy_from(upstream)
            partition.add(contribution, 1)
            self._schedule_expiry(upstream)
        else:
            self._remove(upstream, contribution)
            contribution.partition = partition
            self._insert(upstream, contribution)
        if upstream.weight > self.max_weight:
            self.max_weight = upstream.weight

    def is_available(self, upstream: UpstreamState) -> bool:
        """Return whether a member was available when it was last updated."""
        return self._contributions[upstream].partition is self.available

    def mark_changed(self, upstream: UpstreamState) -> None:
        """Schedule an update of a member for the next refresh."""
        self._changed[upstream] = None

    def add_open_attempts(self, upstream: UpstreamState, change: int) -> None:
        """Add the change in the number of attempts that are open on a member."""
        contribution = self._contributions[upstream]
        contribution.open_attempts += change
        contribution.partition.open_attempts += change

    def _take_changed(self) -> list[UpstreamState]:
        changed = list(reversed(self._changed))
        self._changed.clear()
        return changed

    def _take_expired(self, now: float) -> list[UpstreamState]:
        """Remove the members whose oldest report has expired from the heap, and return them."""
        expired = []
        while self._expiries and self._expiries[0][0] < now:
            expired.append(heapq.heappop(self._expiries)[2])
        self._in_expiries.difference_update(expired)
        return expired

    def _partition_of(self, upstream: UpstreamState) -> Partition:
        return self.available if upstream.utilisation <= self._busy_utilisation else self.busy

    def _insert(self, upstream: UpstreamState, contribution: _Contribution) -> None:
        contribution.copy_from(upstream)
        contribution.position = len(contribution.partition.members)
        contribution.partition.members.append(upstream)
        contribution.partition.add(contribution, 1)
        self._schedule_expiry(upstream)

    def _remove(self, upstream: UpstreamState, contribution: _Contribution) -> None:
        members = contribution.partition.members
        last = members.pop()
        if last is not upstream:
            members[contribution.position] = last
            self._contributions[last].position = contribution.position
        contribution.partition.add(contribution, -1)

    def _schedule_expiry(self, upstream: UpstreamState) -> None:
        if upstream not in self._in_expiries and upstream.reports:
            self._in_expiries.add(upstream)
            entry = (upstream.reports.next_expiry(), next(self._serial), upstream)
            heapq.heappush(self._expiries, entry)
