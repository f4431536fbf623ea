"""The schedule of one run: everything in it follows from the seed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

UPSTREAMS = 4


class Act(Enum):
    """What can be done to the processes and their peers."""

    REPLACE = "replace"  # a new process, then SIGTERM, several times, to the old one
    CRASH = "crash"  # SIGKILL without a word, then a new process
    TERMINATE_STARTING = "terminate-starting"  # a further process, SIGTERM while it starts
    KILL_STARTING = "kill-starting"
    RELOAD = "reload"  # a series of SIGHUP and SIGUSR1
    DRAIN = "drain"
    CORDON = "cordon"
    UPSTREAM_FAULT = "upstream-fault"
    DISCOVERY_FAULT = "discovery-fault"
    CROWD = "crowd"


class UpstreamFault(Enum):
    """What an upstream does to each request for a while."""

    HANG = "hang"
    RESET = "reset"
    CUT_OFF = "cut-off"
    ERROR = "error"
    BUSY = "busy"


class DiscoveryFault(Enum):
    """What discovery does for a while."""

    AWAY = "away"
    SILENT = "silent"


_WEIGHTS = {
    Act.REPLACE: 5,
    Act.CRASH: 1,
    Act.TERMINATE_STARTING: 1,
    Act.KILL_STARTING: 1,
    Act.RELOAD: 3,
    Act.DRAIN: 3,
    Act.CORDON: 3,
    Act.UPSTREAM_FAULT: 5,
    Act.DISCOVERY_FAULT: 2,
    Act.CROWD: 1,
}


@dataclass(frozen=True)
class Step:
    """One act, at a time after the start of the run; the other fields are used as the act needs them."""

    at_s: float
    act: Act
    upstream: int
    length_s: float
    pauses_s: tuple[float, ...]  # between the signals of a series
    upstream_fault: UpstreamFault
    discovery_fault: DiscoveryFault


@dataclass(frozen=True)
class Schedule:
    """One run."""

    seed: int
    seconds: float
    shares_listener: bool
    hedges: bool
    clients: int
    process_faults: tuple[dict[str, str], ...]  # environment of each process in turn
    steps: tuple[Step, ...]


def plan(seed: int, seconds: float) -> Schedule:
    """Return the schedule of a seed."""
    random = Random(seed)
    steps = []
    at_s = random.uniform(0.5, 1.0)
    while at_s < seconds - 1.0:
        steps.append(_step(random, at_s))
        at_s += random.choice((0.0, 0.05, 0.3, 1.0, 2.0))
    return Schedule(
        seed,
        seconds,
        shares_listener=random.random() < 0.7,
        hedges=random.random() < 0.5,
        clients=random.randint(6, 16),
        process_faults=tuple(_process_faults(random) for _ in range(50)),
        steps=tuple(steps),
    )


def _step(random: Random, at_s: float) -> Step:
    return Step(
        at_s,
        random.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0],
        random.randrange(UPSTREAMS),
        random.uniform(0.2, 2.0),
        tuple(random.choice((0.0, 0.001, 0.02, 0.2)) for _ in range(random.randint(1, 4))),
        random.choice(list(UpstreamFault)),
        random.choice(list(DiscoveryFault)),
    )


def _process_faults(random: Random) -> dict[str, str]:
    """Faults of the system round one process (``tests.faulty_program``); most have none."""
    kind = random.randrange(6)
    if kind == 0:
        return {"FAULT_WALL_STEP_S": str(random.choice((-3600.0, -5.0, 5.0, 3600.0)))}
    if kind == 1:
        call = random.choice(("open", "write", "fsync", "rename", "unlink", "listdir"))
        error = random.choice(("ENOSPC", "EIO", "EACCES"))
        return {"FAULTS": f'{{"{call}": ["{error}", {random.randint(1, 5)}]}}'}
    return {}
