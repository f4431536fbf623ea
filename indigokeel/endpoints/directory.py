"""The endpoint list with cordons and start times applied. No I/O; the clock is passed in."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from indigokeel.balancing.events import EndpointState, Member, MembershipUpdate, UpdateKind
from indigokeel.endpoints.cordons import CordonRecord, Cordons
from indigokeel.endpoints.endpoint_list import Address, Endpoint, EndpointList
from indigokeel.endpoints.start_times import StartsSnapshot, StartTimes

_MAX_PRECONNECTED = 64  # upstreams; on a larger list a sidecar uses a subset and preconnects to none
_MAX_FORMER_NAMES = 1024  # of upstreams that are no longer listed, which operators may still cordon


@dataclass(slots=True)
class DirectoryChange:
    """The consequences of a change of the endpoint list or of the cordons."""

    membership: MembershipUpdate
    # Upstreams whose former address is no longer used, so that their idle connections are stale.
    stale_upstreams: list[str] = field(default_factory=list)
    # Upstreams to open a connection to before the first attempt.
    new_upstreams: list[str] = field(default_factory=list)


class EndpointDirectory:
    """The listed endpoints, the cordons over them, and the addresses that accept requests."""

    def __init__(self, unix_to_clock: float, list_age: float) -> None:
        """Create an empty directory.

        ``unix_to_clock`` is the offset from a Unix time to this process's clock time; ``list_age`` is the age
        in seconds up to which an endpoint list counts as up to date.
        """
        self.cordons = Cordons()
        self.start_times = StartTimes(unix_to_clock, list_age)
        self._endpoints: dict[str, Endpoint] = {}
        self._former_names: dict[str, None] = {}  # names of formerly listed upstreams, the most recent last
        self._addresses: dict[str, Address] = {}  # of the upstreams that accept new requests

    def endpoints(self) -> tuple[Endpoint, ...]:
        """Return the endpoint list as discovery sent it, without the cordons applied."""
        return tuple(self._endpoints.values())

    def address(self, upstream: str) -> Address | None:
        """Return the address of an upstream, or None if it accepts no new requests."""
        return self._addresses.get(upstream)

    def endpoint(self, upstream: str) -> Endpoint | None:
        """Return an upstream as discovery lists it now, or None."""
        return self._endpoints.get(upstream)

    def endpoint_at(self, address: Address) -> Endpoint | None:
        """Return the upstream that is listed at an address now, or None."""
        found = (item for item in self._endpoints.values() if (item.host, item.port) == address)
        return next(found, None)

    def has_upstreams(self) -> bool:
        """Return True if any upstream accepts requests."""
        return bool(self._addresses)

    def knows(self, upstream: str) -> bool:
        """Return True if an upstream is listed now or was listed before."""
        return upstream in self._endpoints or upstream in self._former_names

    def snapshot_start_times(self, now: float) -> StartsSnapshot | None:
        """Return the start times of the listed upstreams, to be passed to the next process."""
        return self.start_times.snapshot(now, self._endpoints)

    def apply_update(self, now: float, update: EndpointList, cached: bool) -> DirectoryChange:
        """Apply a snapshot or an update; ``cached`` if discovery did not send it just now."""
        if update.is_snapshot:
            self._former_names.update(dict.fromkeys(self._endpoints))
            self._endpoints.clear()
        for endpoint in update.endpoints:
            self._apply_endpoint(endpoint)
        self.start_times.forget_unlisted(self._endpoints)
        while len(self._former_names) > _MAX_FORMER_NAMES:
            self._former_names.pop(next(iter(self._former_names)))
        present = [endpoint for endpoint in update.endpoints if endpoint.state is not EndpointState.GONE]
        self.start_times.record_starts(now, {endpoint.name: endpoint.since for endpoint in present}, cached)
        return self._change(now, _update_kind(update, cached), update.endpoints, update.version)

    def _apply_endpoint(self, endpoint: Endpoint) -> None:
        if endpoint.state is EndpointState.GONE:
            self._former_names[endpoint.name] = None
            self._endpoints.pop(endpoint.name, None)
        else:
            self._endpoints[endpoint.name] = endpoint

    def cordon(self, now: float, upstream: str) -> list[str] | None:
        """Cordon an upstream; return the names of changed upstreams, or None if it is unknown."""
        if not self.knows(upstream):
            return None
        return [upstream] if self.cordons.cordon(upstream, now) else []

    def uncordon(self, now: float, upstream: str) -> list[str] | None:
        """Lift the cordon of an upstream; return the names of changed upstreams, or None if it is unknown."""
        if not self.knows(upstream) and not self.cordons.is_active(upstream, now):
            return None
        return [upstream] if self.cordons.uncordon(upstream, now) else []

    def merge_cordons(self, records: Iterable[CordonRecord]) -> list[str]:
        """Merge the cordon records of another process; return the names of changed upstreams."""
        return self.cordons.merge(records)

    def apply_cordons(self, now: float, upstreams: Iterable[str]) -> DirectoryChange:
        """Apply the current cordons of these upstreams."""
        listed = [self._endpoints[name] for name in upstreams if name in self._endpoints]
        return self._change(now, UpdateKind.DELTA, listed)

    def apply_all_cordons(self, now: float) -> DirectoryChange:
        """Apply the current cordons of all listed upstreams, after one has expired."""
        return self.apply_cordons(now, list(self._endpoints))

    def next_cordon_expiry(self, now: float) -> float:
        """Return the clock time at which the next cordon expires; infinity if none does."""
        return self.cordons.next_expiry(now)

    def _change(
        self, now: float, kind: UpdateKind, endpoints: Iterable[Endpoint], version: int = 0
    ) -> DirectoryChange:
        replaces_all = kind is not UpdateKind.DELTA
        names = list(self._endpoints) if replaces_all else [endpoint.name for endpoint in endpoints]
        listed = [self._endpoints[name] for name in names if name in self._endpoints]
        effective = {endpoint.name: self.cordons.apply(endpoint, now) for endpoint in listed}
        before = self._addresses
        if not replaces_all:
            before = {name: self._addresses[name] for name in names if name in self._addresses}
        after = {
            name: (endpoint.host, endpoint.port)
            for name, endpoint in effective.items()
            if endpoint.state is EndpointState.SERVING
        }
        self._replace_addresses(before, after, replaces_all)
        members = tuple(self._member(now, effective.get(item.name, item)) for item in endpoints)
        change = DirectoryChange(MembershipUpdate(kind, members, version))
        change.stale_upstreams = sorted(
            name for name, address in before.items() if after.get(name) != address
        )
        if len(self._endpoints) <= _MAX_PRECONNECTED:
            change.new_upstreams = sorted(
                name for name, address in after.items() if before.get(name) != address
            )
        return change

    def _replace_addresses(
        self, before: dict[str, Address], after: dict[str, Address], replaces_all: bool
    ) -> None:
        if replaces_all:
            self._addresses = after
            return
        for name in before:
            del self._addresses[name]
        self._addresses.update(after)

    def _member(self, now: float, endpoint: Endpoint) -> Member:
        listed_start = self.start_times.started(endpoint.name, endpoint.since)
        started = max(listed_start, self.cordons.lifted_at(endpoint.name, now))
        return Member(
            id=endpoint.name,
            zone=endpoint.zone,
            kind=endpoint.kind,
            replica_group=endpoint.replica_group,
            state=endpoint.state,
            scale=endpoint.weight,
            started=started,
        )


def _update_kind(update: EndpointList, cached: bool) -> UpdateKind:
    if cached:
        return UpdateKind.CACHED
    return UpdateKind.FULL if update.is_snapshot else UpdateKind.DELTA
