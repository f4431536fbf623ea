"""Decode settings objects with the checkout that PYTHONPATH names; run by ``settings_comparison``.

Reads a JSON list of settings objects from standard input, and prints a JSON list of the values that the
checkout's ``decode_settings`` returns for them. Fields are identified by their position only, since the names
of fields, classes and modules may differ between two checkouts.
"""

from __future__ import annotations

import dataclasses
import importlib
import json
import sys
from collections.abc import Callable
from enum import Enum
from typing import Any

# Modules that may define ``decode_settings``; the first one that can be imported and defines it is used.
DECODER_MODULES = (
    "indigokeel.config",
    "indigokeel.config.decoder",
    "indigokeel.config.settings",
    "indigokeel.configuration",
    "indigokeel.settings",
)
DECODER_NAME = "decode_settings"
REJECTED = "rejected"


def find_decoder() -> Callable[[Any], Any]:
    """Return the checkout's decoder; raise ImportError if none of the known modules defines it."""
    for name in DECODER_MODULES:
        try:
            module = importlib.import_module(name)
        except ModuleNotFoundError as error:
            if error.name is None or not name.startswith(error.name):  # raised within the module itself
                raise
            continue
        if hasattr(module, DECODER_NAME):
            decoder: Callable[[Any], Any] = getattr(module, DECODER_NAME)
            return decoder
    raise ImportError(f"{DECODER_NAME} is in none of {', '.join(DECODER_MODULES)}")


def to_positional(value: Any) -> Any:
    """Return a decoded value with each dataclass replaced by the list of its field values, in order."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [to_positional(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Enum):
        return to_positional(value.value)
    if isinstance(value, tuple | list):
        return [to_positional(item) for item in value]
    if isinstance(value, dict):
        return {str(key): to_positional(item) for key, item in value.items()}
    return value


def main() -> None:
    """Decode the settings on standard input."""
    decode = find_decoder()
    decoded = []
    for settings in json.load(sys.stdin):
        try:
            decoded.append(to_positional(decode(settings)))
        except ValueError:  # the base class of the settings error of every checkout
            decoded.append(REJECTED)
    json.dump(decoded, sys.stdout)


if __name__ == "__main__":
    main()
