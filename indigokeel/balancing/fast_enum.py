"""The base class of the enums of this package."""

from __future__ import annotations

from enum import Enum


class FastHashEnum(Enum):
    """An Enum with the identity hash, implemented in C: members are dictionary keys on the request path."""

    __hash__ = object.__hash__
