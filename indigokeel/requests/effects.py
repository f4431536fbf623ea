"""What the coordinator takes and returns: plain values, independent of any protocol."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class FinalStatus(Enum):
    """The final answer to a request."""

    __hash__ = object.__hash__

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class Request:
    """A client's request, owed exactly one answer within ``budget`` seconds."""

    id: str
    class_name: str
    budget: float
    tenant: str = ""
    key: str = ""
    hint: float = 0.0
    repeat: bool = False
    write: bool = False
    waited: float = 0.0  # s of its client's time that had gone by behind others on its connection
    long: bool = False  # its body still comes: its time starts with ``request_body_received``


@dataclass(slots=True)
class Attempt:
    """One attempt at a request on one upstream, to be given up at clock time ``until``."""

    request: str
    number: int
    upstream: str
    until: float


@dataclass(slots=True)
class FinalAnswer:
    """The final answer to a request; where it was served, ``attempt`` is the one that did it."""

    request: str
    status: FinalStatus
    retry_after_s: float = 0.0
    attempt: int = -1


@dataclass(slots=True)
class Effects:
    """What the network has to do now."""

    attempts: list[Attempt] = field(default_factory=list)
    answers: list[FinalAnswer] = field(default_factory=list)
    cancelled: list[tuple[str, int]] = field(default_factory=list)  # attempts whose connection is to close
    health_checks: list[str] = field(default_factory=list)
    close_idle: list[str] = field(default_factory=list)
    warm: list[str] = field(default_factory=list)  # upstreams that are new: attempts on them will come
    notes: list[str] = field(default_factory=list)
    watch: bool = False
    fetch: bool = False
