"""The settings in force, and earlier ones for the requests that arrived under them. No I/O."""

from __future__ import annotations

from collections import deque

from indigokeel.balancing.settings import ClassSettings, Idempotency, Settings

_MAX_EARLIER_SETTINGS = 16  # of the last reloads
_STRICTNESS = {Idempotency.SAFE: 0, Idempotency.KEYED: 1, Idempotency.UNSAFE: 2}


class SettingsHistory:
    """Tells under which settings a request arrived."""

    def __init__(self, settings: Settings) -> None:
        """Start with the settings that are in force first."""
        self.current = settings
        # Earlier settings, the oldest first, each with the monotonic seconds at which it was replaced.
        self._earlier: deque[tuple[float, Settings]] = deque(maxlen=_MAX_EARLIER_SETTINGS)

    def replace(self, now: float, settings: Settings) -> None:
        """Put settings in force at ``now``, in monotonic seconds."""
        self._earlier.append((now, self.current))
        self.current = settings

    def for_class(self, name: str, earliest: float, latest: float) -> Settings:
        """Return the settings for a request of a class that arrived between two times in monotonic seconds.

        If several were in force in between, those count that have the class and let its requests be repeated
        the least.
        """
        if not self._earlier or earliest > self._earlier[-1][0]:
            return self.current
        return max(
            self._in_force(earliest, latest),
            key=lambda settings: _strictness(settings.find_class(name)),
        )

    def _in_force(self, earliest: float, latest: float) -> list[Settings]:
        """Return the settings that were in force at any time between two times, the oldest first."""
        found = []
        for replaced_at, settings in self._earlier:
            if earliest <= replaced_at:
                found.append(settings)
            if latest <= replaced_at:
                return found
        return [*found, self.current]


def _strictness(class_settings: ClassSettings | None) -> int:
    """Return a figure that is the larger the less requests may be repeated, -1 without a class."""
    return -1 if class_settings is None else _STRICTNESS[class_settings.idempotency]
