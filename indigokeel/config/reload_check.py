"""Compares a reloaded configuration file with the current configuration, before the file is decoded."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

_JSON_TYPES: tuple[tuple[type, ...], ...] = ((bool,), (int, float), (str,), (list,), (dict,))


def find_regression(current: Any, new: Any, path: str = "") -> str:
    """Return the first key that the new value lacks or has as another JSON type; "" if there is none.

    A truncated or damaged file may still be valid JSON, and defaults would replace the settings that it lost.
    """
    if current is None:
        return ""
    json_type = next(json_type for json_type in _JSON_TYPES if isinstance(current, json_type))
    if not isinstance(new, json_type) or (isinstance(new, bool) and bool not in json_type):
        return f"{path or 'the configuration'} has another JSON type"
    if isinstance(new, float) and not math.isfinite(new):
        return f"{path} is not a finite number"
    value: Any = new  # has the same JSON type as the current value
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
    """Compare each new object with the keys that all objects of the current list have in common."""
    if not current or not all(isinstance(item, dict) for item in current):
        return ""
    shared = {key: value for key, value in current[0].items() if all(key in item for item in current)}
    for number, item in enumerate(new):
        if fault := find_regression(shared, item, f"{path}[{number}]"):
            return fault
    return ""
