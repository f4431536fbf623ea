"""Tests of the limit on the bytes that all connections together hold."""

from __future__ import annotations

from indigokeel.net.memory_account import MemoryAccount


class Holder:
    """A connection that holds bytes, and frees some of them when asked to."""

    def __init__(self, account: MemoryAccount, held: int, reclaimable: int) -> None:
        self.account, self.held, self.reclaimable = account, held, reclaimable
        self.times_asked = 0
        account.update(self, held)

    def reclaim_memory(self) -> None:
        """Free what can be freed (MemoryHolder)."""
        self.times_asked += 1
        self.held -= self.reclaimable
        self.reclaimable = 0
        self.account.update(self, self.held)


def test_largest_holders_are_asked_first_and_no_more_than_needed() -> None:
    account = MemoryAccount(100)
    holders = [Holder(account, held, held) for held in (10, 40, 30, 15)]
    assert account.used_bytes == 95 and account.times_exceeded == 0
    account.update(object_holder := Holder(account, 0, 0), 10)
    assert [holder.times_asked for holder in holders] == [0, 1, 0, 0]
    assert account.used_bytes == 65
    account.remove(object_holder)
    assert account.used_bytes == 55


def test_there_is_no_room_for_more_than_can_be_freed() -> None:
    account = MemoryAccount(100)
    kept = Holder(account, 60, 0)
    freed = Holder(account, 30, 25)
    assert account.has_room(10) and freed.times_asked == 0
    assert account.has_room(30) and (kept.times_asked, freed.times_asked) == (1, 1)
    assert not account.has_room(36)


def test_vain_attempt_is_not_repeated_until_more_is_held() -> None:
    account = MemoryAccount(1000)
    kept = Holder(account, 1005, 0)
    assert kept.times_asked == 1
    account.update(kept, 1014)
    assert kept.times_asked == 1
    account.update(kept, 1030)
    assert kept.times_asked == 2
    account.update(kept, 980)
    account.update(kept, 1001)
    assert kept.times_asked == 3
