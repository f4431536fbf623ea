"""The listening socket at which clients connect."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

BACKLOG = 512  # connections that the system may hold for this process before it accepts them


class ClientListener:
    """Accepts client connections on a socket that is bound, one protocol object for each."""

    def __init__(self, listener: socket.socket, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        self._listener = listener
        self._make_protocol = make_protocol
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Begin to listen and to accept."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self._make_protocol, sock=self._listener, backlog=BACKLOG)

    def close(self) -> None:
        """Stop accepting and close the socket; connections that were accepted stay."""
        if self._server is not None:
            self._server.close()
