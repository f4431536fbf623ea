"""Tests of the ids of requests that must not run twice."""

from __future__ import annotations

from indigokeel.requests.sent_request_ids import SentRequestIds


def test_id_is_remembered_for_a_while_from_its_last_attempt() -> None:
    ids = SentRequestIds()
    ids.add(100.0, "a")
    ids.add(130.0, "a")
    ids.add(131.0, "b")
    assert ids.contains(189.0, "a") and not ids.contains(190.0, "a") and ids.contains(190.0, "b")
    ids.discard("b")
    assert not ids.contains(190.0, "b")


def test_ever_new_ids_take_limited_memory() -> None:
    ids = SentRequestIds()
    for number in range(20_000):
        ids.add(100.0, f"{number}")
    assert len(ids) == 16_384 and ids.contains(100.0, "19999") and not ids.contains(100.0, "0")
    ids.add(200.0, "late")
    assert len(ids) == 1
