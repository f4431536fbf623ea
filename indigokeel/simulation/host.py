"""Hosts balancers and answers the batches of the simulator's wire. No I/O."""

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

_MAX_QUOTED_CHARACTERS = 300  # of a line, in an error's text


class Host:
    """The instances of one process, each with a Balancer of its own; they share nothing."""

    def __init__(self) -> None:
        """Start without an instance."""
        self._instances: dict[int, Balancer] = {}
        self._lists: dict[str, tuple[Member, ...]] = {}

    def reply(self, lines: list[str]) -> list[str]:
        """Answer one batch: its lines, from the one with the time to the one that ends it.

        Raise WireError, which quotes the line, on one that is not allowed.
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
            self._read_list(parse_parts(line), remaining)
        elif name == "SYNC":
            self._update_membership(now, parse_parts(line), output)
        elif name == "SPAWN":
            self._start_instance(line)
        elif name == "SHUTDOWN":
            self._instances.pop(int(parse_parts(line)["sidecar"]), None)
        elif not name.isupper():
            raise WireError("not a message of the wire")

    def _read_list(self, parts: Parts, remaining: Iterator[str]) -> None:
        members = []
        for _ in range(int(parts["rows"])):
            row = next(remaining, "")
            if not row.startswith("ROW "):
                raise WireError(f"a list of {parts['rows']} rows breaks off at {row[:100]!r}")
            members.append(parse_member(row))
        self._lists[parts["roster-id"]] = tuple(members)

    def _update_membership(self, now: float, parts: Parts, output: list[str]) -> None:
        sidecar = int(parts["sidecar"])
        kind = UpdateKind(parts["how"])
        members: tuple[Member, ...] = ()
        if kind is not UpdateKind.FAILED:
            number = parts["roster-id"]
            if number not in self._lists:
                raise WireError(f"no list has the number {number}")
            members = self._lists[number]
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
        """Deliver an event to an instance; one for an unknown instance is ignored."""
        balancer = self._instances.get(sidecar)
        if balancer is None:
            return
        event = make_event()
        try:
            actions = balancer.handle(now, event)
        except Exception as error:  # the wire reports any exception of the balancer
            output.append(format_fault(sidecar, error))
            return
        output += [format_action(sidecar, action) for action in actions]
