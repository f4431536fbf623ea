"""Hosts balancers and answers the batches of messages that the simulator sends. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from indigokeel.balancing.balancer import Balancer
from indigokeel.balancing.events import Event, Member, MembershipUpdate, UpdateKind
from indigokeel.simulation.wire import (
    EVENT_PARSERS,
    Parts,
    WireError,
    format_action,
    format_fault,
    parse_member,
    parse_parts,
    parse_settings,
)

_MAX_QUOTED_CHARACTERS = 300  # of a line, in an error message


class Host:
    """The sidecar instances of one process, each with its own Balancer; they share no state."""

    def __init__(self) -> None:
        """Create a host without instances."""
        self._instances: dict[int, Balancer] = {}
        self._endpoint_lists: dict[str, tuple[Member, ...]] = {}

    def reply(self, lines: list[str]) -> list[str]:
        """Answer one batch, given as its lines from ROUND to YOUR_TURN.

        Raise WireError, which quotes the line, on an invalid line.
        """
        line = lines[0]
        output: list[str] = []
        try:
            head = parse_parts(line)
            now = float(head["moment-s"])
            batch = head["round"]
            remaining = iter(lines[1:-1])
            for line in remaining:
                self._handle_line(now, line, remaining, output)
        except KeyError as error:
            raise WireError(f"{error.args[0]!r} is missing in: {line[:_MAX_QUOTED_CHARACTERS]}") from None
        except ValueError as error:
            raise WireError(f"{error} in: {line[:_MAX_QUOTED_CHARACTERS]}") from None
        output.append(f"DONE round={batch}")
        return output

    def _handle_line(self, now: float, line: str, remaining: Iterator[str], output: list[str]) -> None:
        name = line.split(" ", 1)[0]
        if name in EVENT_PARSERS:
            parts = parse_parts(line)
            self._deliver(int(parts["sidecar"]), now, lambda: EVENT_PARSERS[name](parts), output)
        elif name == "POOL":
            self._read_endpoint_list(parse_parts(line), remaining)
        elif name == "SYNC":
            self._update_membership(now, parse_parts(line), output)
        elif name == "SPAWN":
            self._start_instance(line)
        elif name == "SHUTDOWN":
            self._instances.pop(int(parse_parts(line)["sidecar"]), None)
        elif not name.isupper():
            raise WireError("not a message of the simulator's protocol")

    def _read_endpoint_list(self, parts: Parts, remaining: Iterator[str]) -> None:
        members = []
        for _ in range(int(parts["rows"])):
            row = next(remaining, "")
            if not row.startswith("ROW "):
                raise WireError(f"an endpoint list of {parts['rows']} rows ends early at {row[:100]!r}")
            members.append(parse_member(row))
        self._endpoint_lists[parts["roster-id"]] = tuple(members)

    def _update_membership(self, now: float, parts: Parts, output: list[str]) -> None:
        sidecar = int(parts["sidecar"])
        kind = UpdateKind(parts["how"])
        members: tuple[Member, ...] = ()
        if kind is not UpdateKind.FAILED:
            number = parts["roster-id"]
            if number not in self._endpoint_lists:
                raise WireError(f"no endpoint list has the id {number}")
            members = self._endpoint_lists[number]
        self._deliver(
            sidecar, now, lambda: MembershipUpdate(kind, members, int(parts.get("stamp", "0"))), output
        )

    def _start_instance(self, line: str) -> None:
        head, found, info = line.partition(" info=")
        parts = parse_parts(head)
        if not found:
            raise KeyError("info")
        settings = parse_settings(info)
        sidecar = int(parts["sidecar"])
        self._instances[sidecar] = Balancer(settings, int(parts["entropy"]))

    def _deliver(self, sidecar: int, now: float, make_event: Callable[[], Event], output: list[str]) -> None:
        """Deliver an event to an instance; an event for an unknown instance is ignored."""
        balancer = self._instances.get(sidecar)
        if balancer is None:
            return
        event = make_event()
        try:
            actions = balancer.handle(now, event)
        except Exception as error:  # any exception of the balancer is reported to the simulator
            output.append(format_fault(sidecar, error))
            return
        output += [format_action(sidecar, action) for action in actions]
