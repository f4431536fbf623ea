"""What a scenario works with: scripted peers, one process of the checkout, and the transcript it fills."""

from __future__ import annotations

import socket
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, BinaryIO, cast

from benchmarks.comparison.discovery import Discovery, Endpoint, EndpointList
from benchmarks.comparison.messages import LINE_END, PEER_TIMEOUT_S, Message, read_message
from benchmarks.comparison.program import BASIC_SETTINGS, ComparisonError, Options, Program, wait_until
from benchmarks.comparison.transcript import KnownAddress, Transcript
from benchmarks.comparison.upstreams import Received, Script, Upstream

UNRECORDED_PREFIX = "unrecorded-"  # of the ids of requests whose number or attempts are a matter of time


class Client:
    """One client connection, or one of an operator, whose responses go to the transcript."""

    def __init__(self, label: str, connection: socket.socket, transcript: Transcript) -> None:
        self._label = label
        self._connection = connection
        self._transcript = transcript
        self._file = cast(BinaryIO, connection.makefile("rb"))

    def send(self, *pieces: bytes) -> None:
        """Write pieces, each in a segment of its own; one that the program does not take is not an error."""
        self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            for piece in pieces:
                self._connection.sendall(piece)
        except ConnectionError:
            self._transcript.add_note(self._label, "cannot be written to")

    def read(self, responses: int = 1) -> None:
        """Record so many responses."""
        for _ in range(responses):
            try:
                message = read_message(self._file)
            except OSError as error:
                self._transcript.add_note(self._label, type(error).__name__)
                return
            if message is None:
                self._transcript.add_note(self._label, "closed without a response")
                return
            self._transcript.add_message(self._label, message)

    def finish(self) -> None:
        """Send nothing more, and record whatever still comes until the program closes."""
        self._connection.shutdown(socket.SHUT_WR)
        self.read_to_end()

    def read_to_end(self) -> None:
        """Record what comes until the program closes the connection, and how it does so."""
        try:
            rest = self._file.read()
            how = "closed"
        except OSError as error:
            rest, how = b"", type(error).__name__
        self._transcript.add_message(self._label, Message(how.encode() + LINE_END, rest))
        self.close()

    def read_broken_response(self) -> None:
        """Record the head of a response that breaks off, and that it does. How much of its body had passed on
        by then is a matter of time."""
        message = read_message(self._file)
        if message is None:
            self._transcript.add_note(self._label, "closed without a response")
        else:
            self._transcript.add_message(self._label, Message(message.head))
            self._transcript.add_note(self._label, "whole" if message.whole else "breaks off")
        self.close()

    def close(self) -> None:
        """Close at once."""
        self._file.close()
        self._connection.close()


@dataclass(frozen=True, slots=True)
class Scenario:
    """A named scenario."""

    name: str
    run: Callable[[ScenarioContext], None]


class ScenarioContext:
    """The peers and the processes of one scenario at one checkout."""

    def __init__(self, checkout: Path, folder: Path) -> None:
        self.folder = folder
        self.transcript = Transcript()
        self.received = Received()
        self.discovery = Discovery()
        self.program: Program
        self.unrecorded_target = ""  # of requests whose number is a matter of time
        self._checkout = checkout
        self._upstreams: list[Upstream] = []
        self._programs: list[Program] = []
        self.name_address(self.discovery.address, "{discovery}")

    def name_address(self, address: str, name: str) -> None:
        """Have a name stand for an address in the transcript."""
        self.transcript.addresses.append(KnownAddress(address, name))

    def upstream(self, script: Script) -> Endpoint:
        """Start an upstream; return its entry in the endpoint list. All share one record and one name, since
        which of several is chosen is none of what is compared."""
        upstream = Upstream(script, self.received)
        name = f"s-{len(self._upstreams)}"
        self._upstreams.append(upstream)
        self.name_address(upstream.address, "{upstream}")
        return Endpoint(name, upstream.address)

    def options(self, *known: Endpoint, **changes: Any) -> Options:
        """Return how a process with these endpoints is started."""
        return replace(Options(self.discovery.address, EndpointList(1, known)), **changes)

    def launch(self, options: Options) -> Program:
        """Start a further process, which may not get ready."""
        program = Program(self._checkout, self.folder, options)
        self._programs.append(program)
        return program

    def start(self, *known: Endpoint, **changes: Any) -> Program:
        """Start the process that the scenario is about, until it is ready and has called discovery."""
        self.program = self.launch(self.options(*known, **changes))
        self.program.wait_ready()
        wait_until(lambda: bool(self.discovery.received), "the first call to discovery")
        return self.program

    def client(self, label: str) -> Client:
        """Open a client connection."""
        return Client(label, self.program.connect(), self.transcript)

    def operator(self, label: str) -> Client:
        """Open an operator's connection."""
        connection = socket.create_connection(self.program.operator_address, timeout=PEER_TIMEOUT_S)
        return Client(label, connection, self.transcript)

    def ask(self, label: str, *pieces: bytes, responses: int = 1) -> None:
        """Send on a client connection of its own, record the responses, and end it."""
        client = self.client(label)
        client.send(*pieces)
        client.read(responses)
        client.finish()

    def ask_to_end(self, label: str, *pieces: bytes) -> None:
        """Send on a client connection of its own, and record all until the program closes it."""
        client = self.client(label)
        client.send(*pieces)
        client.read_to_end()

    def wait_received(self, count: int) -> None:
        """Wait until the upstreams have received so many requests."""
        wait_until(lambda: len(self.received.messages) >= count, f"{count} requests at the upstreams")

    def wait_watches(self, count: int) -> None:
        """Wait until so many watches were opened at discovery."""
        wait_until(lambda: len(self.discovery.watches) >= count, f"{count} watches at discovery")

    def finish(self) -> None:
        """End the processes and the peers, and record what the peers received."""
        for program in self._programs:
            program.kill()
        for server in (*self._upstreams, self.discovery):
            server.close()
        for message in self.received.messages:
            if self._recorded(message):
                self.transcript.add_message("upstream", message)
        for message in self.discovery.received:
            self.transcript.add_message("discovery", message)

    def _recorded(self, message: Message) -> bool:
        if self.unrecorded_target and message.target == self.unrecorded_target:
            return False
        return not message.header("Request-Id").startswith(UNRECORDED_PREFIX)


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Yield a folder that is removed in the end, with whatever a process that was killed has left in it."""
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        yield Path(folder)


@contextmanager
def scenario_context(checkout: Path) -> Iterator[ScenarioContext]:
    """Yield the context of one scenario, in a folder of its own."""
    with temporary_folder() as folder:
        made = ScenarioContext(checkout, folder)
        try:
            yield made
        finally:
            made.finish()


def record(scenario: Scenario, checkout: Path) -> Transcript:
    """Run one scenario at one checkout. One that cannot be run to its end is a failure."""
    with scenario_context(checkout) as made:
        try:
            scenario.run(made)
        except (ComparisonError, OSError) as error:
            made.transcript.failure = str(error) or type(error).__name__
    return made.transcript


def settings_with(**changes: Any) -> dict[str, Any]:
    """Return the basic settings with other values; a value that is an object is merged into the basic one."""
    settings = dict(BASIC_SETTINGS)
    for key, value in changes.items():
        name = key.replace("_", "-")
        settings[name] = {**settings.get(name, {}), **value} if isinstance(value, dict) else value
    return settings
