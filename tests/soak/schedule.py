"""The schedule of one run, derived from the seed alone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

UPSTREAMS = 4


class Operation(Enum):
    """What a step can do to the processes and their peers."""

    REPLACE = "replace"  # start a new process, then send the old one SIGTERM several times
    CRASH = "crash"  # SIGKILL with no SIGTERM before it, then start a new process
    TERMINATE_STARTING = "terminate-starting"  # start a further process and send it SIGTERM during its start
    KILL_STARTING = "kill-starting"
    RELOAD = "reload"  # send a series of SIGHUP and SIGUSR1
    DRAIN = "drain"
    CORDON = "cordon"
    UPSTREAM_FAULT = "upstream-fault"
    DISCOVERY_FAULT = "discovery-fault"
    CONNECTION_FLOOD = "connection-flood"


class UpstreamFault(Enum):
    """What an upstream does with every request while it is faulty."""

    HANG = "hang"
    RESET = "reset"
    CUT_OFF = "cut-off"
    ERROR = "error"
    BUSY = "busy"


class DiscoveryFault(Enum):
    """What discovery does while it is faulty."""

    DOWN = "down"
    SILENT = "silent"


_WEIGHTS = {
    Operation.REPLACE: 5,
    Operation.CRASH: 1,
    Operation.TERMINATE_STARTING: 1,
    Operation.KILL_STARTING: 1,
    Operation.RELOAD: 3,
    Operation.DRAIN: 3,
    Operation.CORDON: 3,
    Operation.UPSTREAM_FAULT: 5,
    Operation.DISCOVERY_FAULT: 2,
    Operation.CONNECTION_FLOOD: 1,
}


@dataclass(frozen=True)
class Step:
    """One operation, its time from the start of the run, and arguments that only some operations use."""

    at_s: float
    operation: Operation
    upstream: int
    length_s: float
    pauses_s: tuple[float, ...]  # pauses between the signals of a series
    upstream_fault: UpstreamFault
    discovery_fault: DiscoveryFault


@dataclass(frozen=True)
class Schedule:
    """The plan of one run."""

    seed: int
    seconds: float
    shares_listener: bool
    hedges: bool
    clients: int
    process_faults: tuple[dict[str, str], ...]  # environment variables of each process, in start order
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
    """Return the system faults that one process meets (see ``tests.faulty_program``); most get none."""
    kind = random.randrange(6)
    if kind == 0:
        return {"FAULT_WALL_STEP_S": str(random.choice((-3600.0, -5.0, 5.0, 3600.0)))}
    if kind == 1:
        call = random.choice(("open", "write", "fsync", "rename", "unlink", "listdir"))
        error = random.choice(("ENOSPC", "EIO", "EACCES"))
        return {"FAULTS": f'{{"{call}": ["{error}", {random.randint(1, 5)}]}}'}
    return {}
