"""The recording of one scenario with one checkout, and the comparison of two recordings.

Every byte is compared, except for the values of ``TIMING_HEADERS``, the addresses chosen by a run, and the
chunk boundaries of a body, which depend on how much the operating system returned from each read.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from itertools import zip_longest

from benchmarks.comparison.messages import Message

EXCERPT_LENGTH = 160  # bytes of each side shown, starting shortly before the first difference
EXCERPT_CONTEXT = 60  # how many of these bytes precede the first difference


@dataclass(frozen=True, slots=True)
class TimingHeader:
    """A header whose value is a time, which varies slightly between runs."""

    name: str
    pattern: re.Pattern[bytes]  # its only group is the time
    tolerance: float  # largest allowed difference, in the header's unit


TIMING_HEADERS = (
    # The time left for an attempt depends on how long the request has taken so far.
    TimingHeader("request-timeout", re.compile(rb"(?m)^Request-Timeout-Ms: (\d+)\r$"), tolerance=100.0),
)


@dataclass(frozen=True, slots=True)
class AddressAlias:
    """An address chosen by a run, and the name that replaces it for the comparison."""

    address: str
    name: str


@dataclass(frozen=True, slots=True)
class Entry:
    """A message or an observation, with the values of the timing headers in its head."""

    channel: str
    head: bytes
    body: bytes = b""
    timings: tuple[float, ...] = ()

    def normalised(self, addresses: list[AddressAlias]) -> Entry:
        """Return the entry with the timing values moved out of its head, and addresses replaced by names."""
        head = self.head
        timings: list[float] = []
        for timing in TIMING_HEADERS:
            timings.extend(float(found) for found in timing.pattern.findall(head))
            head = timing.pattern.sub(b"{" + timing.name.encode() + b"}\r", head)
        for alias in addresses:
            head = re.sub(
                rb"(?<![\d.])%s(?!\d)" % re.escape(alias.address.encode()), alias.name.encode(), head
            )
        return replace(self, head=head, timings=tuple(timings))

    def bytes_match(self, other: Entry) -> bool:
        """Return whether two normalised entries are equal except for their timing values."""
        same = replace(self, timings=()) == replace(other, timings=())
        return same and len(self.timings) == len(other.timings)

    def timings_match(self, other: Entry) -> bool:
        """Return whether the timing values of two such entries differ by no more than the tolerance."""
        tolerance = max(timing.tolerance for timing in TIMING_HEADERS)
        pairs = zip(self.timings, other.timings, strict=True)
        return all(abs(mine - theirs) <= tolerance for mine, theirs in pairs)


@dataclass(slots=True)
class Transcript:
    """The entries recorded in one scenario, in the order in which the scenario recorded them."""

    entries: list[Entry] = field(default_factory=list)
    addresses: list[AddressAlias] = field(default_factory=list)
    failure: str = ""  # why the scenario could not be completed; a difference on either side

    def add_message(self, channel: str, message: Message) -> None:
        """Add a message."""
        self.entries.append(Entry(channel, message.head, message.body))
        if not message.complete:
            self.add_note(channel, "truncated")

    def add_note(self, channel: str, text: str) -> None:
        """Add an observation other than a message, such as an exit code."""
        self.entries.append(Entry(channel, text.encode()))

    def normalised(self) -> list[Entry]:
        """Return the entries in the form in which they are compared."""
        return [entry.normalised(self.addresses) for entry in self.entries]


@dataclass(frozen=True, slots=True)
class Difference:
    """One entry that differs between two transcripts."""

    line: str
    timing_only: bool  # only the value of a timing header differs


def differences(scenario: str, base: Transcript, new: Transcript) -> Iterator[Difference]:
    """Yield each entry that differs, and each side whose scenario could not be completed."""
    for side, transcript in (("BASE", base), ("NEW", new)):
        if transcript.failure:
            line = f"bytes: {scenario}: cannot be completed with {side}: {transcript.failure}"
            yield Difference(line, timing_only=False)
    for number, (mine, theirs) in enumerate(zip_longest(base.normalised(), new.normalised())):
        bytes_match = mine is not None and theirs is not None and mine.bytes_match(theirs)
        if bytes_match and mine.timings_match(theirs):
            continue
        line = f"bytes: {scenario}: entry {number}: {_describe(mine, theirs)}"
        yield Difference(line, timing_only=bytes_match)


def _describe(base: Entry | None, new: Entry | None) -> str:
    if base is None or new is None:
        found = base or new
        assert found is not None
        side = "BASE" if new is None else "NEW"
        return f"only in {side}: {found.channel}: {_excerpt(_content(found), 0)}"
    before, after = _content(base), _content(new)
    start = max(_first_difference(before, after) - EXCERPT_CONTEXT, 0)
    return f"{base.channel}: BASE {_excerpt(before, start)} NEW {_excerpt(after, start)}"


def _content(entry: Entry) -> bytes:
    timings = "".join(f" timing {timing:g}" for timing in entry.timings)
    return entry.channel.encode() + b": " + entry.head + entry.body + timings.encode()


def _excerpt(content: bytes, start: int) -> str:
    return repr(content[start : start + EXCERPT_LENGTH])


def _first_difference(left: bytes, right: bytes) -> int:
    pairs = zip(left, right, strict=False)
    return next((at for at, (a, b) in enumerate(pairs) if a != b), min(len(left), len(right)))
