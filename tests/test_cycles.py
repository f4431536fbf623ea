"""Test that endpoints replaced over hours of simulated time do not make a coordinator's state grow."""

from __future__ import annotations

import gc
from collections import deque
from random import Random

from indigokeel.balancing.events import AttemptOutcome, EndpointState, LoadReport
from indigokeel.endpoints.endpoint_list import Endpoint, EndpointList
from indigokeel.requests.coordinator import RequestCoordinator
from indigokeel.requests.effects import Request
from tests.conftest import make_settings


def count_objects(root: object) -> int:
    """Count the objects reachable from ``root``, without types, modules and functions."""
    seen = {id(root)}
    pending: list[object] = [root]
    while pending:
        current = pending.pop()
        if isinstance(current, type) or type(current).__name__ in (
            "module",
            "function",
            "builtin_function_or_method",
        ):
            continue
        for other in gc.get_referents(current):
            is_module_namespace = isinstance(other, dict) and "__name__" in other
            if id(other) not in seen and not is_module_namespace:
                seen.add(id(other))
                pending.append(other)
    return len(seen)


def test_replaced_upstreams_do_not_make_the_state_grow() -> None:
    """Guards against state kept for upstreams that are gone.

    Each cycle replaces all 30 upstreams by ones with new names and replica groups at the old addresses.
    Meanwhile requests are served, fail, time out and lose their client, and the watch breaks."""
    random, now = Random(7), 1000.0
    coordinator = RequestCoordinator(make_settings(polls_membership=True, key_affinity=True), 7, 0.0)
    listed: deque[Endpoint] = deque()
    sizes: list[int] = []
    requests = 0
    for cycle in range(160):
        fresh = [
            Endpoint(f"s-{cycle}-{n}", "127.0.0.1", 3000 + n, "z", f"k{n % 3}", cycle * 5 + n // 6, since=now)
            for n in range(30)
        ]
        gone = [
            Endpoint(m.name, m.host, m.port, m.zone, m.kind, m.replica_group, state=EndpointState.GONE)
            for m in listed
        ]
        whole = cycle % 3 == 0
        coordinator.update_endpoints(
            now, EndpointList(cycle, whole, tuple(fresh if whole else [*gone, *fresh]))
        )
        listed = deque(fresh)
        for _ in range(40):
            now += 0.05
            requests += 1
            request = Request(
                f"j{requests}", random.choice(("view", "pay", "order")), 1.0, key=f"key{requests}"
            )
            attempts = coordinator.pick(now, request).attempts
            while attempts:
                outcome = random.choice(
                    (
                        AttemptOutcome.OK,
                        AttemptOutcome.ERROR,
                        AttemptOutcome.REJECTED,
                        AttemptOutcome.TIMED_OUT,
                    )
                )
                attempts = coordinator.report(
                    now, attempts[0], outcome, LoadReport(rate=9.0, utilisation=0.5)
                ).attempts
            if requests % 7 == 0:
                coordinator.client_disconnected(now, request.id)
            coordinator.tick(now)
        coordinator.endpoint_watch_failed(now)
        now += 20.0
        coordinator.tick(now)
        if cycle in (60, 159):
            gc.collect()
            sizes.append(count_objects(coordinator))
    assert coordinator.unanswered == 0
    assert sizes[1] < sizes[0] * 1.05, sizes
