"""What happened in one run, as the peers of the program saw it. All times are monotonic seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass
class Answer:
    """A final answer, as far as it was read."""

    at: float
    code: int
    is_whole: bool = True
    body: bytes = field(default=b"", repr=False)


@dataclass
class ClientRequest:
    """A request that a client has written completely."""

    id: str
    class_name: str
    body: bytes = field(repr=False)
    sent_at: float
    limit_s: float
    answers: list[Answer] = field(default_factory=list)
    due_behind: float = -math.inf  # when those ahead of it in the pipeline were due, which come first
    closed_at: float = math.inf  # its connection ended without an answer
    waited_in_vain: bool = False  # far longer than its limit, on an open connection
    behind_close: bool = False  # the answer before it in the pipeline said that the connection closes
    left_at: float = math.inf  # its client closed the connection before the answer


@dataclass
class Arrival:
    """An attempt whose last byte an upstream has received."""

    request_id: str
    upstream: str
    group: int
    begun_at: float  # its first byte
    ran: bool = True  # False where the upstream states that it did not start


@dataclass
class Notice:
    """An upstream that was taken out of service, as every process of that time was notified."""

    upstream: str
    at: float
    until: float = math.inf  # back in service


@dataclass
class ProcessEnd:
    """The life of one process after SIGTERM."""

    name: str
    term_at: float
    ended_at: float
    exit_code: int
    kill_due_at: float  # the earliest SIGKILL


@dataclass
class ProcessStart:
    """The start of one process that was not ended meanwhile."""

    name: str
    started_at: float
    ready_at: float = math.inf


@dataclass
class Quiet:
    """What a process used while nothing was sent, and held afterwards."""

    name: str
    seconds: float
    cpu_s: float
    descriptors: int
    descriptors_at_start: int
    resident_kb: int
    resident_kb_at_start: int


@dataclass
class History:
    """All that was seen in one run."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    notices: list[Notice] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    starts: list[ProcessStart] = field(default_factory=list)
    quiet: list[Quiet] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)  # a process was killed without a word
    outages: list[tuple[float, float]] = field(default_factory=list)  # no process read what came
    crowds: list[tuple[float, float]] = field(default_factory=list)  # idle clients held the descriptors
    stalls: list[tuple[float, float]] = field(default_factory=list)  # this harness stood still, from and to
