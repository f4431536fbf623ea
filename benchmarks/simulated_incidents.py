"""Run the incidents of a scenario: upstream faults, changes of the endpoint list and discovery failures."""

from __future__ import annotations

from functools import partial
from random import Random
from typing import Protocol

from benchmarks.simulated_fleet import EventQueue, Fault, Fleet
from benchmarks.wire_scenarios import Incident

REMOVE_AFTER_DRAIN_S = 0.5  # time between an upstream's draining and its removal

_FAULTS = {fault.value: fault for fault in Fault}


class SidecarControl(Protocol):
    """The operations on sidecars that incidents use."""

    def notify_subscribers(self) -> None:
        """Send the changes of the endpoint list to the subscribed sidecars."""

    def break_subscriptions(self) -> None:
        """End all subscriptions and report the failure to the sidecars."""

    def restart_sidecar(self, number: int) -> None:
        """Stop a sidecar and start it again in the same batch."""


class IncidentRunner:
    """Starts incidents and ends them after their simulated duration."""

    def __init__(self, queue: EventQueue, fleet: Fleet, random: Random, sidecars: SidecarControl) -> None:
        self._queue, self._fleet, self._random, self._sidecars = queue, fleet, random, sidecars

    def begin(self, incident: Incident) -> None:
        """Start an incident now and schedule its end."""
        if incident.kind in _FAULTS:
            self._begin_fault(incident)
        elif incident.kind == "subscription-break":
            self._sidecars.break_subscriptions()
        elif incident.kind == "discovery-outage":
            self._sidecars.break_subscriptions()
            self._fleet.discovery.available = False
            self._queue.after(incident.duration_s, self._end_outage)
        elif incident.kind == "restart-sidecar":
            self._sidecars.restart_sidecar(0)
        else:
            self._change_list(incident)

    def _end_outage(self) -> None:
        self._fleet.discovery.available = True

    def _draw_serving_upstreams(self, count: int) -> list[str]:
        """Draw up to ``count`` upstreams at random from those that discovery lists as serving."""
        endpoints = self._fleet.discovery.endpoints.values()
        serving = [endpoint.address for endpoint in endpoints if endpoint.lifecycle == "SERVING"]
        return self._random.sample(serving, min(count, len(serving)))

    def _begin_fault(self, incident: Incident) -> None:
        for address in self._draw_serving_upstreams(incident.count):
            self._fleet.upstreams[address].fault = _FAULTS[incident.kind]
            self._queue.after(incident.duration_s, partial(self._end_fault, address))

    def _end_fault(self, address: str) -> None:
        self._fleet.upstreams[address].fault = Fault.NONE

    def _change_list(self, incident: Incident) -> None:
        """Change the endpoint list and notify its subscribers."""
        if incident.kind == "add":
            for _ in range(incident.count):
                self._fleet.discovery.change(self._fleet.add(self._queue.now))
        for address in self._draw_serving_upstreams(incident.count) if incident.kind != "add" else ():
            if incident.kind == "restart":
                self._fleet.upstreams[address].fault = Fault.DOWN
                self._queue.after(incident.duration_s, partial(self._restart, address))
            elif incident.kind == "drain":
                self._fleet.discovery.update(address, "DRAINING")
                self._fleet.upstreams[address].fault = Fault.FULL
                self._queue.after(REMOVE_AFTER_DRAIN_S, partial(self._remove, address))
            elif incident.kind == "remove":
                self._remove(address)
            else:
                raise ValueError(f"unknown kind of incident: {incident.kind!r}")
        self._sidecars.notify_subscribers()

    def _restart(self, address: str) -> None:
        """Restart an upstream, which then warms up again, and list its new start time."""
        upstream = self._fleet.upstreams[address]
        upstream.fault = Fault.NONE
        upstream.restart(self._queue.now)
        if address in self._fleet.discovery.endpoints:
            self._fleet.discovery.update(address, started_s=self._queue.now)
            self._sidecars.notify_subscribers()

    def _remove(self, address: str) -> None:
        self._fleet.upstreams[address].fault = Fault.DOWN
        if address in self._fleet.discovery.endpoints:
            self._fleet.discovery.update(address, "DELETED")
            self._sidecars.notify_subscribers()
