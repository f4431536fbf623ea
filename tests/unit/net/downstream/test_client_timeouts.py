"""What a client connection waits for, and when that is overdue."""

from __future__ import annotations

from dataclasses import replace

import pytest

from indigokeel.net.downstream.client_timeouts import AwaitedEvent, ClientTimeouts, ConnectionActivity

IDLE = ConnectionActivity(
    streaming_response=False,
    unwritten_bytes=0,
    ended=False,
    receiving_request=False,
    reading_paused=False,
    idle=True,
)
SERVING = replace(IDLE, idle=False)
RECEIVING = replace(SERVING, receiving_request=True)


@pytest.mark.parametrize(
    ("activity", "awaited"),
    [
        (IDLE, AwaitedEvent.NEXT_REQUEST),
        (SERVING, None),
        (RECEIVING, AwaitedEvent.REST_OF_REQUEST),
        (replace(RECEIVING, reading_paused=True), None),
        (replace(RECEIVING, ended=True), AwaitedEvent.PEER_CLOSE),
        (replace(IDLE, ended=True, unwritten_bytes=1), AwaitedEvent.RESPONSE_ACCEPTED),
        (replace(SERVING, streaming_response=True, unwritten_bytes=1), AwaitedEvent.RESPONSE_STREAM_CHUNK),
    ],
)
def test_awaited_event_for_each_activity(activity: ConnectionActivity, awaited: AwaitedEvent | None) -> None:
    assert activity.awaited_event() is awaited


@pytest.mark.parametrize(
    ("activity", "timeout_s"),
    [
        (IDLE, 2.2),
        (RECEIVING, 2.5),
        (replace(IDLE, ended=True), 1.0),
        (replace(IDLE, unwritten_bytes=1), 5.0),
        (replace(SERVING, streaming_response=True), 10.0),
    ],
)
def test_wait_is_overdue_after_its_timeout(activity: ConnectionActivity, timeout_s: float) -> None:
    timeouts = ClientTimeouts()
    timeouts.restart(100.0)
    timeouts.check(100.0, activity, 0)
    assert timeouts.check(100.0 + timeout_s - 0.01, activity, 0) is None
    assert timeouts.check(100.0 + timeout_s + 0.01, activity, 0) is activity.awaited_event()


def test_received_body_extends_the_request_timeout() -> None:
    timeouts = ClientTimeouts()
    timeouts.restart(100.0)
    assert timeouts.check(103.4, RECEIVING, 32_000) is None
    assert timeouts.check(103.6, RECEIVING, 32_000) is AwaitedEvent.REST_OF_REQUEST


def test_reading_pause_is_not_counted() -> None:
    timeouts = ClientTimeouts()
    timeouts.restart(100.0)
    timeouts.exclude_pause(101.0, 111.0)
    assert timeouts.elapsed_s(111.0) == 1.0
    timeouts.restart(120.0)
    timeouts.exclude_pause(110.0, 121.0)  # the pause began before the wait
    assert timeouts.elapsed_s(121.0) == 0.0


def test_wait_starts_anew_when_some_output_is_accepted() -> None:
    timeouts = ClientTimeouts()
    timeouts.restart(100.0)
    for now, unwritten in ((101.0, 9), (105.0, 8), (109.0, 7)):
        assert timeouts.check(now, replace(IDLE, unwritten_bytes=unwritten), 0) is None
    assert timeouts.check(114.1, replace(IDLE, unwritten_bytes=7), 0) is AwaitedEvent.RESPONSE_ACCEPTED
