"""Nodes that come and go for hours leave the books where they were. The clock is passed in."""

from __future__ import annotations

import gc
from collections import deque
from random import Random

from indigokeel.decision import interface as api
from indigokeel.facade import Facade
from indigokeel.machine_list import Machine, MachineList
from indigokeel.orders import Job, Outcome
from tests.conftest import make_settings


def held(root: object) -> int:
    """How many objects of its own ``root`` keeps alive."""
    seen = {id(root)}
    left: list[object] = [root]
    while left:
        one = left.pop()
        if isinstance(one, type) or type(one).__name__ in (
            "module",
            "function",
            "builtin_function_or_method",
        ):
            continue
        for other in gc.get_referents(one):
            module = isinstance(other, dict) and "__name__" in other
            if id(other) not in seen and not module:
                seen.add(id(other))
                left.append(other)
    return len(seen)


def test_nodes_come_and_gone_leave_the_books_where_they_were() -> None:
    """Every cycle replaces each of 30 nodes by one of a new name, in a pod of a new number, at an address
    that another had; jobs are served, fail, time out and are left meanwhile, and the watch breaks."""
    random, now = Random(7), 1000.0
    facade = Facade(make_settings(ask_membership=True, warm_keys=True), 7, 0.0)
    listed: deque[Machine] = deque()
    sizes: list[int] = []
    jobs = 0
    for cycle in range(160):
        fresh = [
            Machine(f"s-{cycle}-{n}", "127.0.0.1", 3000 + n, "z", f"k{n % 3}", cycle * 5 + n // 6, since=now)
            for n in range(30)
        ]
        gone = [Machine(m.name, m.host, m.port, m.zone, m.kind, m.cell, state=api.State.GONE) for m in listed]
        whole = cycle % 3 == 0
        facade.listed(now, MachineList(cycle, whole, tuple(fresh if whole else [*gone, *fresh])))
        listed = deque(fresh)
        for _ in range(40):
            now += 0.05
            jobs += 1
            job = Job(f"j{jobs}", random.choice(("view", "pay", "order")), 1.0, key=f"key{jobs}")
            claims = facade.pick(now, job).claims
            while claims:
                ending = random.choice(
                    (Outcome.SERVED, Outcome.ERROR, Outcome.TURNED_AWAY, Outcome.TIMED_OUT)
                )
                claims = facade.report(now, claims[0], ending, {"rate": 9.0, "utilisation": 0.5}).claims
            if jobs % 7 == 0:
                facade.left(now, job.id)
            facade.tick(now)
        facade.list_failed(now)
        now += 20.0
        facade.tick(now)
        if cycle in (60, 159):
            gc.collect()
            sizes.append(held(facade))
    assert facade.owed == 0
    assert sizes[1] < sizes[0] * 1.05, sizes
