"""The upstreams of the endpoint list, and the order that subsets are taken from."""

from __future__ import annotations

from collections.abc import Iterator

from indigokeel.balancing import slow_start
from indigokeel.balancing.capacity_estimates import CapacityEstimates
from indigokeel.balancing.events import EndpointState, Member, MembershipUpdate, UpdateKind
from indigokeel.balancing.hashing import mix64
from indigokeel.balancing.settings import Settings
from indigokeel.balancing.upstream_state import UpstreamState
from indigokeel.balancing.weighted_choice import van_der_corput
from indigokeel.balancing.zone_ordered_set import ZoneOrderedSet

ORDER_HASH_SEED = 0x5851F42D4C957F2D
MIN_SUBSET_SIZE = 20  # upstreams used by a sidecar with little traffic, as alternatives when some fail
MIN_SCALE = 1e-6  # lower bound of the scale that the endpoint list states for an upstream


class UpstreamRegistry:
    """All known upstreams, and the serving ones in subset order and by replica group."""

    def __init__(self, settings: Settings, capacities: CapacityEstimates) -> None:
        self._capacities = capacities
        self.upstreams: dict[str, UpstreamState] = {}
        self._serving: ZoneOrderedSet[UpstreamState] = ZoneOrderedSet()
        self._ordered: list[UpstreamState] | None = None  # None: not built since the last change
        self._replica_groups: dict[int, list[UpstreamState]] = {}
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use these settings from now on."""
        self._settings = settings

    def apply_update(self, now: float, update: MembershipUpdate) -> None:
        """Apply a change or a full list; upstreams that are missing from a full list are removed."""
        if update.kind is not UpdateKind.DELTA:
            listed = {member.id for member in update.members}
            for absent in [name for name in self.upstreams if name not in listed]:
                self._stop_serving(self.upstreams.pop(absent))
        for member in update.members:
            self._apply_member(now, member)
        self._ordered = None

    def serving_count(self) -> int:
        """Return the number of serving upstreams."""
        return len(self._serving)

    def iterate_serving(self) -> Iterator[UpstreamState]:
        """Iterate over the serving upstreams in subset order.

        All sidecars use the same order, and each starts at one of a few positions in it. Sidecars thus share
        the upstreams that a key is routed to.
        """
        return self._serving.iterate_from(self._subset_position())

    def all_serving(self) -> list[UpstreamState]:
        """Return the serving upstreams in subset order; the list is cached until the next change."""
        if self._ordered is None:
            self._ordered = list(self.iterate_serving())
            self._replica_groups = {}
            for upstream in self._ordered:
                self._replica_groups.setdefault(upstream.member.replica_group, []).append(upstream)
        return self._ordered

    def serving_in_group(self, replica_group: int) -> list[UpstreamState] | None:
        """Return the serving upstreams of a replica group, or None if the group has none."""
        self.all_serving()
        return self._replica_groups.get(replica_group)

    def _apply_member(self, now: float, member: Member) -> None:
        upstream = self.upstreams.get(member.id)
        if upstream is not None:
            self._stop_serving(upstream)
        if member.state is EndpointState.GONE:
            self.upstreams.pop(member.id, None)
            return
        if upstream is None or upstream.member.started != member.started:
            # The upstream is new or was restarted: what was learned about it no longer holds.
            upstream = UpstreamState(member, self._capacities.group_estimate(member))
            self.upstreams[member.id] = upstream
        upstream.member = member
        upstream.warm_up_weight = slow_start.warm_up_weight(self._settings.safety, member.started, now)
        upstream.scale = max(member.scale, MIN_SCALE) if self._settings.scale_is_capacity else 1.0
        if member.state is EndpointState.SERVING:
            self._serving.add(member.zone, _rank(upstream), member.id, upstream)

    def _stop_serving(self, upstream: UpstreamState) -> None:
        self._serving.discard(upstream.member.zone, _rank(upstream), upstream.member.id)

    def _subset_position(self) -> float:
        """Return the position in the order, from 0 to 1, at which this sidecar's subset begins.

        The possible positions are evenly spaced, and just enough for subsets of the minimum size to cover all
        upstreams. Their number is a power of two, so that they stay the same while the fleet changes.
        """
        positions = 1
        while positions * MIN_SUBSET_SIZE < len(self._serving):
            positions *= 2
        return van_der_corput(self._settings.instance_index % positions)


def _rank(upstream: UpstreamState) -> int:
    return mix64(upstream.name_hash, ORDER_HASH_SEED)
