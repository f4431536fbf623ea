"""What goes into the facade and comes out of it: plain values, which any protocol can make and carry out."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from indigokeel.decision import interface as api


class Outcome(Enum):
    """How a claim ended, as the network saw it; ``ending`` is the module's word for it."""

    __hash__ = object.__hash__

    SERVED = api.Ending.OK
    ERROR = api.Ending.ERROR
    TURNED_AWAY = api.Ending.REFUSED  # the execute node says that it never began
    NO_CONNECTION = api.Ending.NO_CONNECTION  # not all of it was written: it cannot have run
    BROKEN = api.Ending.BROKEN
    MOOT = api.Ending.NEVER_SENT  # not sent: the job is over, or the execute node wants nothing new
    TIMED_OUT = api.Ending.TIMEOUT

    def __init__(self, ending: api.Ending) -> None:
        self.ending = ending


class Verdict(Enum):
    """The final answer to a job."""

    __hash__ = object.__hash__

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Job:
    """A submitter's job, owed exactly one answer within ``budget`` seconds."""

    id: str
    job_class: str
    budget: float
    tenant: str = ""
    key: str = ""
    hint: float = 0.0
    repeat: bool = False
    write: bool = False
    waited: float = 0.0  # s of its client's time that had gone by behind others on its connection
    long: bool = False  # its body still comes: its time starts with ``uploaded``


@dataclass(slots=True)
class Claim:
    """One attempt at a job on one execute node, to be given up at clock time ``until``."""

    job: str
    number: int
    node: str
    until: float


@dataclass(slots=True)
class Answer:
    """The final answer to a job; where it was served, ``claim`` is the one that did it."""

    job: str
    verdict: Verdict
    retry_in: float = 0.0
    claim: int = -1


@dataclass(slots=True)
class Orders:
    """What the network has to do now."""

    claims: list[Claim] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    given_up: list[tuple[str, int]] = field(default_factory=list)  # claims whose connection is to close
    probes: list[str] = field(default_factory=list)
    close_idle: list[str] = field(default_factory=list)
    warm: list[str] = field(default_factory=list)  # execute nodes that are new: claims on them will come
    notes: list[str] = field(default_factory=list)
    watch: bool = False
    fetch: bool = False
