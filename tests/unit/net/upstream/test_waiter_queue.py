"""The order of waiters for connections, and the upstreams in the queue."""

from __future__ import annotations

from indigokeel.net.upstream.waiter_queue import ConnectionWaiter, WaiterQueue

ADDRESS = ("127.0.0.1", 3001)


def make_waiter(upstream: str) -> ConnectionWaiter:
    """Return a waiter whose result is ignored."""
    return ConnectionWaiter(upstream, ADDRESS, 0.0, lambda result: None)


def test_waiters_for_an_upstream_are_kept_in_order() -> None:
    queue = WaiterQueue()
    first, second = make_waiter("s-0"), make_waiter("s-0")
    queue.append(first)
    queue.append(second)
    assert queue.waiters("s-0") == [first, second] and queue.first("s-0") is first
    assert queue.remove(first) and queue.first("s-0") is second
    assert not queue.remove(first)


def test_empty_queue_keeps_no_upstreams() -> None:
    queue = WaiterQueue()
    waiter = make_waiter("s-0")
    queue.append(waiter)
    assert queue and waiter in queue and (queue.count("s-0"), len(queue)) == (1, 1)
    queue.remove(waiter)
    assert not queue and waiter not in queue and queue.upstreams() == [] and queue.first("s-0") is None
