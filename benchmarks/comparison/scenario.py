"""The context of a scenario: scripted peers, processes of one checkout, and the transcript of both."""

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
from benchmarks.comparison.transcript import AddressAlias, Transcript
from benchmarks.comparison.upstreams import RequestLog, Script, Upstream

UNRECORDED_PREFIX = "unrecorded-"  # ids of requests whose number or attempts depend on timing start with it


class Client:
    """A connection to the client or admin address, whose responses are recorded in the transcript."""

    def __init__(self, label: str, connection: socket.socket, transcript: Transcript) -> None:
        self._label = label
        self._connection = connection
        self._transcript = transcript
        self._file = cast(BinaryIO, connection.makefile("rb"))

    def send(self, *pieces: bytes) -> None:
        """Write each piece in a segment of its own; a connection closed by the program is not an error."""
        self._connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            for piece in pieces:
                self._connection.sendall(piece)
        except ConnectionError:
            self._transcript.add_note(self._label, "closed for writing")

    def read(self, responses: int = 1) -> None:
        """Read and record this number of responses."""
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
        """Shut down writing, and record what is received until the program closes the connection."""
        self._connection.shutdown(socket.SHUT_WR)
        self.read_to_end()

    def read_to_end(self) -> None:
        """Record what is received until the program closes the connection, and how it is closed."""
        try:
            rest = self._file.read()
            how = "closed"
        except OSError as error:
            rest, how = b"", type(error).__name__
        self._transcript.add_message(self._label, Message(how.encode() + LINE_END, rest))
        self.close()

    def read_truncated_response(self) -> None:
        """Record the head of a response, and whether its body is complete. The body itself is left out, since
        how much of a truncated body is forwarded depends on timing."""
        message = read_message(self._file)
        if message is None:
            self._transcript.add_note(self._label, "closed without a response")
        else:
            self._transcript.add_message(self._label, Message(message.head))
            self._transcript.add_note(self._label, "complete" if message.complete else "truncated")
        self.close()

    def close(self) -> None:
        """Close the connection without reading any more."""
        self._file.close()
        self._connection.close()


@dataclass(frozen=True, slots=True)
class Scenario:
    """A scenario and its name."""

    name: str
    run: Callable[[ScenarioContext], None]


class ScenarioContext:
    """The peers and the processes of one scenario with one checkout."""

    def __init__(self, checkout: Path, folder: Path) -> None:
        self.folder = folder
        self.transcript = Transcript()
        self.received = RequestLog()
        self.discovery = Discovery()
        self.program: Program
        self.unrecorded_target = ""  # target of requests whose number depends on timing
        self._checkout = checkout
        self._upstreams: list[Upstream] = []
        self._programs: list[Program] = []
        self.name_address(self.discovery.address, "{discovery}")

    def name_address(self, address: str, name: str) -> None:
        """Replace an address by a name in the transcript."""
        self.transcript.addresses.append(AddressAlias(address, name))

    def start_upstream(self, script: Script) -> Endpoint:
        """Start an upstream; return its entry in the endpoint list. All upstreams share one request log and
        one name in the transcript, since the choice between upstreams is not compared."""
        upstream = Upstream(script, self.received)
        name = f"s-{len(self._upstreams)}"
        self._upstreams.append(upstream)
        self.name_address(upstream.address, "{upstream}")
        return Endpoint(name, upstream.address)

    def make_options(self, *known: Endpoint, **changes: Any) -> Options:
        """Return the options of a process that knows these endpoints."""
        return replace(Options(self.discovery.address, EndpointList(1, known)), **changes)

    def launch(self, options: Options) -> Program:
        """Start a process without waiting until it is ready."""
        program = Program(self._checkout, self.folder, options)
        self._programs.append(program)
        return program

    def start(self, *known: Endpoint, **changes: Any) -> Program:
        """Start the main process of the scenario, and wait until it is ready and has called discovery."""
        self.program = self.launch(self.make_options(*known, **changes))
        self.program.wait_ready()
        wait_until(lambda: bool(self.discovery.received), "the first call to discovery")
        return self.program

    def open_client(self, label: str) -> Client:
        """Open a client connection."""
        return Client(label, self.program.connect(), self.transcript)

    def open_admin_client(self, label: str) -> Client:
        """Open a connection to the admin address."""
        connection = socket.create_connection(self.program.admin_address, timeout=PEER_TIMEOUT_S)
        return Client(label, connection, self.transcript)

    def record_exchange(self, label: str, *pieces: bytes, responses: int = 1) -> None:
        """Send the pieces on a new client connection, record the responses, and end the connection."""
        client = self.open_client(label)
        client.send(*pieces)
        client.read(responses)
        client.finish()

    def record_until_close(self, label: str, *pieces: bytes) -> None:
        """Send the pieces on a new client connection, and record everything until the program closes it."""
        client = self.open_client(label)
        client.send(*pieces)
        client.read_to_end()

    def wait_received(self, count: int) -> None:
        """Wait until the upstreams have received this number of requests."""
        wait_until(lambda: len(self.received.messages) >= count, f"{count} requests at the upstreams")

    def wait_watches(self, count: int) -> None:
        """Wait until this number of watches have been opened at discovery."""
        wait_until(lambda: len(self.discovery.watches) >= count, f"{count} watches at discovery")

    def finish(self) -> None:
        """Stop the processes and the peers, and record what the peers received."""
        for program in self._programs:
            program.kill()
        for server in (*self._upstreams, self.discovery):
            server.close()
        for message in self.received.messages:
            if self._is_recorded(message):
                self.transcript.add_message("upstream", message)
        for message in self.discovery.received:
            self.transcript.add_message("discovery", message)

    def _is_recorded(self, message: Message) -> bool:
        if self.unrecorded_target and message.target == self.unrecorded_target:
            return False
        return not message.header("Request-Id").startswith(UNRECORDED_PREFIX)


@contextmanager
def temporary_folder() -> Iterator[Path]:
    """Yield a folder that is removed afterwards, with any files that killed processes have left in it."""
    with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as folder:
        yield Path(folder)


@contextmanager
def scenario_context(checkout: Path) -> Iterator[ScenarioContext]:
    """Yield the context of one scenario, with a folder of its own."""
    with temporary_folder() as folder:
        context = ScenarioContext(checkout, folder)
        try:
            yield context
        finally:
            context.finish()


def record(scenario: Scenario, checkout: Path) -> Transcript:
    """Run a scenario with a checkout. If it cannot be completed, the transcript has the failure."""
    with scenario_context(checkout) as context:
        try:
            scenario.run(context)
        except (ComparisonError, OSError) as error:
            context.transcript.failure = str(error) or type(error).__name__
    return context.transcript


def settings_with(**changes: Any) -> dict[str, Any]:
    """Return the basic settings with these changes; an object is merged into the basic object."""
    settings = dict(BASIC_SETTINGS)
    for key, value in changes.items():
        name = key.replace("_", "-")
        settings[name] = {**settings.get(name, {}), **value} if isinstance(value, dict) else value
    return settings
