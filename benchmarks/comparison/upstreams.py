"""Scripted upstreams on 127.0.0.1 that record the requests they receive."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from benchmarks.comparison.messages import PEER_TIMEOUT_S, Message, read_message, response


class AfterReply(Enum):
    """What an upstream does with its connection after writing a reply."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"


@dataclass(frozen=True, slots=True)
class Reply:
    """The bytes that an upstream sends for a request; without any, it leaves the request unanswered."""

    data: bytes = b""
    after: AfterReply = AfterReply.KEEP


Script = Callable[[Message], Reply]


def echo(message: Message) -> Reply:
    """Reply with the request's body, or with its target if it has none."""
    return Reply(response(200, message.body or message.target.encode()))


class Server:
    """A listening socket with a thread for each connection."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = int(self._listener.getsockname()[1])
        self._acceptor = threading.Thread(target=self._accept, daemon=True)
        self._acceptor.start()

    @property
    def address(self) -> str:
        """Return the address in the form HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._serve_quietly, args=(connection,), daemon=True).start()

    def _serve_quietly(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError):
            self.serve(connection)

    def serve(self, connection: socket.socket) -> None:
        """Serve one connection until its end; called in a thread of its own."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening, and wait until the accepting thread has ended."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._acceptor.join(PEER_TIMEOUT_S)
        self._listener.close()


@dataclass(slots=True)
class RequestLog:
    """The requests received by one upstream, or by several that share the log, in order of arrival."""

    messages: list[Message] = field(default_factory=list)
    closed_connections: int = 0  # connections that the program closed
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, message: Message) -> None:
        """Add a request to the log."""
        with self.lock:
            self.messages.append(message)


class Upstream(Server):
    """An upstream that answers each request with the reply of its script."""

    def __init__(self, script: Script, received: RequestLog) -> None:
        self._script = script
        self._received = received
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of a connection one after another."""
        with connection, connection.makefile("rb") as file:
            while (message := read_message(file)) is not None:
                self._received.add(message)
                reply = self._script(message)
                connection.sendall(reply.data)
                if reply.after is AfterReply.RESET:
                    reset_on_close(connection)
                if reply.after is not AfterReply.KEEP:
                    return
        with self._received.lock:
            self._received.closed_connections += 1


def reset_on_close(connection: socket.socket) -> None:
    """Make the connection send a reset when it is closed."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
