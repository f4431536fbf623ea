"""Reads the fields of a decoded JSON object, and reports a missing or invalid field by its path."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeVar

from indigokeel.config.errors import SettingsError

_MAX_QUOTED_CHARACTERS = 60  # of an invalid value, in an error message

T = TypeVar("T")


class FieldReader:
    """The fields of one JSON object. A field that is null counts as missing."""

    def __init__(self, data: Any, path: str = "settings") -> None:
        """Wrap a decoded JSON value; raise SettingsError if it is not an object."""
        if not isinstance(data, dict):
            raise SettingsError(f"{path}: not an object")
        self._data = data
        self.path = path

    def object(self, key: str) -> FieldReader:
        """Return the object in a field; an empty one if the field is missing."""
        found = self._data.get(key)
        return FieldReader({} if found is None else found, f"{self.path}.{key}")

    def objects(self, key: str, required: bool = False) -> list[FieldReader]:
        """Return the objects of the list in a field; an empty list if it is missing and not required."""
        items = self._data.get(key)
        if items is None:
            if required:
                raise SettingsError(f"{self.path}: {key!r} is missing")
            return []
        if not isinstance(items, list):
            raise SettingsError(f"{self.path}.{key}: not a list")
        return [FieldReader(item, f"{self.path}.{key}[{number}]") for number, item in enumerate(items)]

    def read(self, key: str, convert: Callable[[Any], T], default: T | None = None) -> T:
        """Return the value of a field, converted by ``convert``; without a default the field is required."""
        value = self._data.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"{self.path}: {key!r} is missing")
            return default
        try:
            return convert(value)
        except (KeyError, ValueError, TypeError, OverflowError):
            quoted = str(value)[:_MAX_QUOTED_CHARACTERS]
            raise SettingsError(f"{self.path}.{key}: {quoted!r} cannot be used") from None

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        return self.read(key, _to_finite_number, default)

    def integer(self, key: str, default: int) -> int:
        """Return an integer."""
        return self.read(key, int, default)

    def text(self, key: str) -> str:
        """Return a required string."""
        return self.read(key, _to_string)

    def flag(self, key: str) -> bool:
        """Return a boolean; False if the field is missing."""
        return self.read(key, bool, False)


def _to_finite_number(value: Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError
    return number


def _to_string(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError
    return value
