"""Decode settings objects with the checkout whose package is on the path; run by ``settings_comparison``.

Reads a JSON list of settings objects on standard input, and prints a JSON list of the values that the
checkout's ``decode_settings`` makes of them. Fields are identified by their position alone, since the names
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

# Modules that may hold ``decode_settings``, the first that can be imported and has it counts.
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
    """Return the checkout's decoder; raises ImportError where no known module has it."""
    for name in DECODER_MODULES:
        try:
            module = importlib.import_module(name)
        except ModuleNotFoundError as error:
            if error.name is None or not name.startswith(error.name):  # a fault within the module itself
                raise
            continue
        if hasattr(module, DECODER_NAME):
            decoder: Callable[[Any], Any] = getattr(module, DECODER_NAME)
            return decoder
    raise ImportError(f"{DECODER_NAME} is in none of {', '.join(DECODER_MODULES)}")


def positional(value: Any) -> Any:
    """Return a decoded value with tuples of field values, in the order of declaration, for records."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return [positional(getattr(value, field.name)) for field in dataclasses.fields(value)]
    if isinstance(value, Enum):
        return positional(value.value)
    if isinstance(value, tuple | list):
        return [positional(item) for item in value]
    if isinstance(value, dict):
        return {str(key): positional(item) for key, item in value.items()}
    return value


def main() -> None:
    """Decode what comes on standard input."""
    decode = find_decoder()
    decoded = []
    for settings in json.load(sys.stdin):
        try:
            decoded.append(positional(decode(settings)))
        except ValueError:  # the base of every checkout's own error
            decoded.append(REJECTED)
    json.dump(decoded, sys.stdout)


if __name__ == "__main__":
    main()
