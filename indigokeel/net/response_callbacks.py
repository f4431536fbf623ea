"""The callbacks of httptools for a response, passed on to an object that they do not keep alive."""

from __future__ import annotations

import weakref
from typing import Protocol


class ResponseHandler(Protocol):
    """The object that owns the parser of httptools and handles its callbacks."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a field of the trailer section."""

    def on_headers_complete(self) -> None:
        """Handle the end of a head, which may be that of an interim response."""

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_message_complete(self) -> None:
        """Handle the end of the response."""


class ResponseCallbacks:
    """Pass callbacks on to a handler.

    A parser of httptools keeps the object with its callbacks alive. If that were the owner of the parser, the
    two would stay in memory, with the body, until a garbage collection.
    """

    __slots__ = ("_handler",)

    def __init__(self, handler: ResponseHandler) -> None:
        self._handler: ResponseHandler = weakref.proxy(handler)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header or a field of the trailer section."""
        self._handler.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of a head."""
        self._handler.on_headers_complete()

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body."""
        self._handler.on_body(data)

    def on_message_complete(self) -> None:
        """Pass on the end of the response."""
        self._handler.on_message_complete()
