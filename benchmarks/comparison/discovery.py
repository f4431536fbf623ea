"""A scripted discovery service on 127.0.0.1, and the endpoint lists that it sends."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.comparison.messages import Message, read_message
from benchmarks.comparison.upstreams import Server, reset_on_close

HEARTBEAT_INTERVAL_S = 1.0  # time between the empty lines of a watch; the protocol has one every 2 s
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One entry of an endpoint list."""

    name: str
    address: str
    status: str = "Ready"
    group: int = 1

    def encoded(self) -> dict[str, object]:
        """Return the entry as the JSON object that discovery sends."""
        return {
            "name": self.name,
            "address": self.address,
            "zone": "z",
            "type": "m",
            "group": self.group,
            "status": self.status,
            "weight": 1.0,
            "since_ms": 0,
        }


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A snapshot of the list, or an update with the changes since the previous index."""

    index: int
    endpoints: tuple[Endpoint, ...]
    snapshot: bool = True

    def encoded(self) -> dict[str, object]:
        """Return the list as the JSON object that discovery sends."""
        entries = [endpoint.encoded() for endpoint in self.endpoints]
        return {"index": self.index, "snapshot": self.snapshot, "endpoints": entries}

    def line(self) -> bytes:
        """Return the list as one line of a watch."""
        return json.dumps(self.encoded()).encode()


class Watch:
    """An open watch."""

    def __init__(self, connection: socket.socket) -> None:
        self._connection = connection
        self._lock = threading.Lock()

    def push(self, line: bytes) -> None:
        """Write a line in a chunk of its own."""
        with self._lock:
            self._connection.sendall(b"%x\r\n%s\n\r\n" % (len(line) + 1, line))

    def reset(self) -> None:
        """Reset the connection of the watch."""
        reset_on_close(self._connection)
        self._connection.shutdown(socket.SHUT_RD)  # wakes the serving thread, which closes the connection


class Discovery(Server):
    """A discovery service that keeps watches open; its responses to other calls can be set."""

    def __init__(self) -> None:
        self.received: list[Message] = []
        self.watches: list[Watch] = []
        self.initial_lines: list[bytes] = []  # lines sent at the start of each watch
        self.scripted_responses: list[bytes] = []  # to the next calls, in place of a watch or a list
        self.full_list: Callable[[], bytes] = EndpointList(0, ()).line
        self._stopped = threading.Event()
        super().__init__()

    def serve(self, connection: socket.socket) -> None:
        """Answer the one call of a connection."""
        with connection, connection.makefile("rb") as file:
            message = read_message(file)
            if message is None:
                return
            self.received.append(message)
            if self.scripted_responses:
                connection.sendall(self.scripted_responses.pop(0))
                return
            if "watch=1" not in message.target:
                body = self.full_list()
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                return
            connection.sendall(WATCH_HEAD)
            self._keep_watch(connection, file.read)

    def _keep_watch(self, connection: socket.socket, read: Callable[[int], bytes]) -> None:
        """Keep a watch alive until the program or ``Watch.reset`` ends it."""
        watch = Watch(connection)
        for line in self.initial_lines:
            watch.push(line)
        self.watches.append(watch)
        heartbeat = threading.Thread(target=self._send_heartbeats, args=(watch,), daemon=True)
        heartbeat.start()
        read(1)

    def _send_heartbeats(self, watch: Watch) -> None:
        while not self._stopped.wait(HEARTBEAT_INTERVAL_S):
            try:
                watch.push(b"")
            except OSError:
                return

    def close(self) -> None:
        """Stop listening, and stop the heartbeats."""
        self._stopped.set()
        super().close()
