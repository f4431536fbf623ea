"""The record of one run, as seen by the clients, upstreams and harness. Times are monotonic seconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass
class Answer:
    """A final answer, or the part of it that was read before the connection ended."""

    at: float
    code: int
    is_complete: bool = True
    body: bytes = field(default=b"", repr=False)


@dataclass
class ClientRequest:
    """A request that a client has written completely."""

    id: str
    class_name: str
    body: bytes = field(repr=False)
    sent_at: float
    timeout_s: float
    answers: list[Answer] = field(default_factory=list)
    pipeline_due_at: float = -math.inf  # when those ahead in the pipeline, answered first, are due
    closed_at: float = math.inf  # when its connection ended without an answer
    client_timed_out: bool = False  # no answer long after its timeout, connection still open
    after_connection_close: bool = False  # the previous answer carried "Connection: close"
    client_disconnected_at: float = math.inf  # when its client left without the answer


@dataclass
class Arrival:
    """An attempt that an upstream has received completely."""

    request_id: str
    upstream: str
    group: int
    begun_at: float  # when its first byte was received
    executed: bool = True  # False if the upstream answers that it did not start the request


@dataclass
class Removal:
    """A span in which an upstream is out of service and every live process has been told so."""

    upstream: str
    at: float
    until: float = math.inf  # when it is back in service


@dataclass
class ProcessEnd:
    """The shutdown of one process, from SIGTERM on."""

    name: str
    term_at: float
    ended_at: float
    exit_code: int
    kill_due_at: float  # when a supervisor would send SIGKILL at the earliest


@dataclass
class ProcessStart:
    """The start of one process that nothing interrupted."""

    name: str
    started_at: float
    ready_at: float = math.inf


@dataclass
class IdleUsage:
    """What a process used while no requests were sent, and what it still held afterwards."""

    name: str
    seconds: float
    cpu_s: float
    descriptors: int
    descriptors_at_start: int
    resident_kb: int
    resident_kb_at_start: int


@dataclass
class History:
    """Everything recorded in one run."""

    requests: dict[str, ClientRequest] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    removals: list[Removal] = field(default_factory=list)
    ends: list[ProcessEnd] = field(default_factory=list)
    starts: list[ProcessStart] = field(default_factory=list)
    idle_usage: list[IdleUsage] = field(default_factory=list)
    crashes: list[float] = field(default_factory=list)  # when a process got SIGKILL
    # Spans, from and to, in which:
    outages: list[tuple[float, float]] = field(default_factory=list)  # no process read requests
    # idle client connections used up descriptors
    connection_floods: list[tuple[float, float]] = field(default_factory=list)
    stalls: list[tuple[float, float]] = field(default_factory=list)  # the harness itself stalled
