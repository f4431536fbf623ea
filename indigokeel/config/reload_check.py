"""Compares a reread configuration file with the one in force, before it is decoded."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

_KINDS: tuple[tuple[type, ...], ...] = ((bool,), (int, float), (str,), (list,), (dict,))


def find_regression(current: Any, new: Any, path: str = "") -> str:
    """Return what a new value lacks of the current one, or has as another JSON type; "" where nothing.

    A file that was truncated or damaged may still be valid JSON, and defaults would replace what it lost.
    """
    if current is None:
        return ""
    kind = next(kind for kind in _KINDS if isinstance(current, kind))
    if not isinstance(new, kind) or (isinstance(new, bool) and bool not in kind):
        return f"{path or 'the configuration'} is of another kind"
    if isinstance(new, float) and not math.isfinite(new):
        return f"{path} is no number"
    value: Any = new  # of the same JSON type as the current one
    if isinstance(current, dict):
        return _find_in_object(current, value, path)
    if isinstance(current, list):
        return _find_in_list(current, value, path)
    return ""


def _find_in_object(current: Mapping[str, Any], new: Mapping[str, Any], path: str) -> str:
    for key, value in current.items():
        key_path = f"{path}.{key}" if path else key
        if key not in new:
            return f"{key_path} is missing"
        if fault := find_regression(value, new[key], key_path):
            return fault
    return ""


def _find_in_list(current: list[Any], new: list[Any], path: str) -> str:
    """Compare each new object with the keys that all current objects of the list share."""
    if not current or not all(isinstance(item, dict) for item in current):
        return ""
    shared = {key: value for key, value in current[0].items() if all(key in item for item in current)}
    for number, item in enumerate(new):
        if fault := find_regression(shared, item, f"{path}[{number}]"):
            return fault
    return ""
