"""What one scenario saw of one checkout, and how two of them are compared.

Compared is every byte, but for what ``TIMING_FIGURES`` lists, the addresses that a run has chosen, and the
borders of the chunks of a body, which follow from how the system cut what was read.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import zip_longest

from benchmarks.comparison.messages import Message

EXCERPT_LENGTH = 160  # bytes shown on each side, from a little before the first that differs
EXCERPT_BEFORE = 60  # bytes of them before it


@dataclass(frozen=True, slots=True)
class TimingFigure:
    """A header whose value is a time that differs a little from run to run."""

    name: str
    pattern: re.Pattern[bytes]  # its one group is the figure
    tolerance: float  # by how much two figures may differ, in the header's unit


TIMING_FIGURES = (
    # What an attempt has left depends on how long the request took on its way.
    TimingFigure("request-timeout", re.compile(rb"(?m)^Request-Timeout-Ms: (\d+)\r$"), tolerance=100.0),
)


@dataclass(frozen=True, slots=True)
class KnownAddress:
    """An address that a run has chosen, and the name that stands for it in what is compared."""

    address: str
    name: str


@dataclass(frozen=True, slots=True)
class Entry:
    """One message or one observation, with the timing figures that its head held."""

    channel: str
    head: bytes
    body: bytes = b""
    figures: tuple[float, ...] = ()

    def normalised(self, addresses: list[KnownAddress]) -> Entry:
        """Return the entry with its timing figures taken out, and with names for addresses."""
        head = self.head
        figures: list[float] = []
        for timing in TIMING_FIGURES:
            figures.extend(float(found) for found in timing.pattern.findall(head))
            head = timing.pattern.sub(b"{" + timing.name.encode() + b"}\r", head)
        for known in addresses:
            head = re.sub(
                rb"(?<![\d.])%s(?!\d)" % re.escape(known.address.encode()), known.name.encode(), head
            )
        return replace(self, head=head, figures=tuple(figures))

    def same_bytes(self, other: Entry) -> bool:
        """Return whether two normalised entries are the same, but for the values of their timing figures."""
        same = replace(self, figures=()) == replace(other, figures=())
        return same and len(self.figures) == len(other.figures)

    def same_times(self, other: Entry) -> bool:
        """Return whether the timing figures of two such entries are within the tolerance of each other."""
        tolerance = max(timing.tolerance for timing in TIMING_FIGURES)
        pairs = zip(self.figures, other.figures, strict=True)
        return all(abs(mine - theirs) <= tolerance for mine, theirs in pairs)


@dataclass(slots=True)
class Transcript:
    """What one scenario saw, in its own order."""

    entries: list[Entry] = field(default_factory=list)
    addresses: list[KnownAddress] = field(default_factory=list)
    failure: str = ""  # why the scenario could not be run to its end, which counts on either side

    def add_message(self, channel: str, message: Message) -> None:
        """Add one message."""
        self.entries.append(Entry(channel, message.head, message.body))
        if not message.whole:
            self.add_note(channel, "breaks off")

    def add_note(self, channel: str, text: str) -> None:
        """Add an observation that is no message, such as an exit code."""
        self.entries.append(Entry(channel, text.encode()))

    def normalised(self) -> list[Entry]:
        """Return the entries as they are compared."""
        return [entry.normalised(self.addresses) for entry in self.entries]


@dataclass(frozen=True, slots=True)
class Difference:
    """One entry that differs between two transcripts."""

    line: str
    timing_only: bool  # the bytes are the same but for the value of a timing figure


def differences(scenario: str, base: Transcript, new: Transcript) -> Iterator[Difference]:
    """Yield each entry that differs, and each side that could not be recorded to its end."""
    for side, transcript in (("BASE", base), ("NEW", new)):
        if transcript.failure:
            line = f"bytes: {scenario}: cannot be run to its end at {side}: {transcript.failure}"
            yield Difference(line, timing_only=False)
    for number, (mine, theirs) in enumerate(zip_longest(base.normalised(), new.normalised())):
        same_bytes = mine is not None and theirs is not None and mine.same_bytes(theirs)
        if same_bytes and mine.same_times(theirs):
            continue
        line = f"bytes: {scenario}: entry {number}: {_describe(mine, theirs)}"
        yield Difference(line, timing_only=same_bytes)


def _describe(base: Entry | None, new: Entry | None) -> str:
    if base is None or new is None:
        found = base or new
        assert found is not None
        side = "BASE" if new is None else "NEW"
        return f"only in {side}: {found.channel}: {_excerpt(_content(found), 0)}"
    before, after = _content(base), _content(new)
    start = max(_first_difference(before, after) - EXCERPT_BEFORE, 0)
    return f"{base.channel}: BASE {_excerpt(before, start)} NEW {_excerpt(after, start)}"


def _content(entry: Entry) -> bytes:
    figures = "".join(f" figure {figure:g}" for figure in entry.figures)
    return entry.channel.encode() + b": " + entry.head + entry.body + figures.encode()


def _excerpt(content: bytes, start: int) -> str:
    return repr(content[start : start + EXCERPT_LENGTH])


def _first_difference(left: bytes, right: bytes) -> int:
    pairs = zip(left, right, strict=False)
    return next((at for at, (a, b) in enumerate(pairs) if a != b), min(len(left), len(right)))
