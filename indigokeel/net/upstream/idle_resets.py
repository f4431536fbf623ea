"""What is known of idle connections: how often attempts broke on them, by how long they had stood idle."""

from __future__ import annotations

import math

_YOUNGEST = 0.025  # s idle; ages are told apart from here on, each span twice as long as the one before ...
_AGES = 12  # ... and so many of them
_TAU = 20.0  # s in which what was seen of an age loses most of its weight
_PRIOR, _COUNT = 0.02, 5.0  # the part of attempts that break anywhere, and how much that belief weighs
_MORE = 0.06  # a connection is not used at an age at which so many more break than on new ones
# The same for a request that must not be sent again, which such a break loses for good: little is enough, and
# what others met at any shorter age counts too.
_MORE_UNSAFE = 0.012


class IdleResetEstimator:
    """What became of attempts, by how long their connection had stood idle before.

    Guards against upstreams, or what stands before them, that drop idle connections long before keepalive-s
    and say nothing: a request written to one may have run for all anyone knows, and is lost where it must not
    be sent again. Where that is common at some age, connections are not used at that age or over it."""

    def __init__(self) -> None:
        self._of: list[list[float]] = [[0.0, 0.0, 0.0] for _ in range(_AGES + 1)]  # attempts, broken, when
        self._forgotten = -math.inf  # when the last break tells nothing any more

    def add(self, now: float, age: float, broken: bool) -> None:
        """``age``, in seconds, is negative for a connection that was made for its attempt."""
        entry = self._entry(now, self._index(age))
        entry[0] += 1.0
        if broken:
            entry[1] += 1.0
            self._forgotten = now + 10.0 * _TAU

    def too_old(self, now: float, age: float, unsafe: bool = False) -> bool:
        """Whether a connection that stood idle for ``age`` seconds is a bad risk for a request, ``unsafe``
        where the request may not be sent again after a break."""
        if now >= self._forgotten:
            return False  # nothing broke for long
        last = self._index(age)
        if not any(self._of[index][1] for index in range(1, last + 1)):
            return False  # nothing broke at these ages
        bound = self._idle_resets(now, 0) + (_MORE_UNSAFE if unsafe else _MORE)
        return any(self._idle_resets(now, index) > bound for index in range(1, last + 1))

    @staticmethod
    def _index(age: float) -> int:
        return 0 if age < 0.0 else min(max(int(math.log2(age / _YOUNGEST + 1e-9)) + 2, 1), _AGES)

    def _entry(self, now: float, index: int) -> list[float]:
        entry = self._of[index]
        keep = math.exp((entry[2] - now) / _TAU)
        entry[:] = entry[0] * keep, entry[1] * keep, now
        return entry

    def _idle_resets(self, now: float, index: int) -> float:
        attempts, broken, _ = self._entry(now, index)
        return (broken + _PRIOR * _COUNT) / (attempts + _COUNT)
