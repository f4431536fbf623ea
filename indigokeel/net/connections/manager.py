"""The manager: hands out connections to claims in order, opens and closes them within the bounds."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import Enum
from random import Random

from indigokeel.net.connections.backoff import Holds
from indigokeel.net.connections.books import Books, Bounds, State
from indigokeel.net.connections.circuit import Circuit
from indigokeel.net.connections.link import Conversation, Link
from indigokeel.net.connections.risk import IdleRisk
from indigokeel.net.errors import LocalError

Address = tuple[str, int]
_CIRCUIT_KEPT = 30.0  # s after which what is known of a failing address is forgotten
# s between two log lines on what this machine lacks, which may be met hundreds of times a second.
_LOCAL_LOGGED = 1.0


class NoConnection(Enum):
    """Why there is none."""

    UPSTREAM = "upstream"  # connects to it fail, or none came up in time
    LOCAL = "local"  # this machine could not begin a connect for some of the time: the upstream may be well


Ready = Callable[[Link | NoConnection], None]


class Ticket:
    """A wait for a connection to a node. Good for one call of ``ready`` or of ``Connections.cancel``."""

    __slots__ = ("address", "node", "ready", "since", "timer")

    def __init__(self, node: str, address: Address, since: float, ready: Ready) -> None:
        self.node, self.address, self.since, self.ready = node, address, since, ready
        self.timer: asyncio.Handle | None = None


class Connections:
    """All connections of one kind, and who waits for one."""

    def __init__(
        self,
        bounds: Bounds,
        speak: Callable[[Link], Conversation],
        count: Callable[[str], None],
        log: Callable[[str, str], None],
        clock: Callable[[], float],
        seed: int = 0,
        connect_timeout: float = 0.25,
        idle_most: float = 15.0,
        calls: int = 1,
    ) -> None:
        """``speak`` makes what is said on a new connection; ``calls`` is how many one carries at a time;
        ``log`` takes a level and a text. Times are seconds, ``clock``'s."""
        self._speak, self._count, self._log, self._clock = speak, count, log, clock
        self._random = Random(seed)
        self._connect_timeout, self._idle_most, self._calls = connect_timeout, idle_most, calls
        self.books: Books[Link] = Books(bounds)
        self.risk = IdleRisk()
        self._waiting: dict[str, dict[Ticket, None]] = {}
        self._circuits: dict[tuple[str, Address], Circuit] = {}
        self._began: dict[Link, float] = {}  # when those that are opening did
        self._pumping = False
        self._holds = Holds(self._random)
        self._local_logged = -math.inf

    def reconfigure(self, connect_timeout: float, idle_most: float) -> None:
        """Take other times, in seconds."""
        self._connect_timeout, self._idle_most = connect_timeout, idle_most

    # --- what is asked ------------------------------------------------------------------------------

    def borrow(
        self,
        node: str,
        address: Address,
        patience: float,
        ready: Ready,
        unsafe: bool = False,
    ) -> Link | Ticket:
        """A connection to ``node`` for one call: at once where one is free, else a ticket, whose ``ready``
        is called once, later: with a connection, or with the reason where none came up within ``patience``
        seconds. While this machine cannot begin a connect, it tries again, with a backoff, all that time. An
        ``unsafe`` job gets none that may break under it."""
        link = self._free(node, address, unsafe)
        if link is not None:
            link.calls += 1
            return link
        now = self._clock()
        ticket = Ticket(node, address, now, ready)
        circuit = self._circuits.get((node, address))
        if circuit is not None and not circuit.allows(now) and not self.books.count(node, State.OPENING):
            self._count("connects_not_tried")
            self._tell_soon(ticket)
            return ticket
        ticket.timer = asyncio.get_running_loop().call_later(patience, self._too_late, ticket)
        self._waiting.setdefault(node, {})[ticket] = None
        self._pump(node)
        return ticket

    def cancel(self, ticket: Ticket) -> None:
        """Nobody waits on a ticket any more: ``ready`` is not called."""
        if ticket.timer is not None:
            ticket.timer.cancel()
            ticket.timer = None
        if self._leave(ticket):
            self._drop_surplus(ticket, failed=False)

    def held_back(self, ticket: Ticket) -> bool:
        """Whether this machine could not begin a connect for some of the time of a wait, so that it tells
        nothing of the upstream."""
        return self._holds.any_since(ticket.node, ticket.since)

    def give_back(self, link: Link, clean: bool) -> None:
        """A call on a connection is over. It is kept, for who waits first, where it is ``clean``."""
        link.calls -= 1
        if link.state is State.CLOSED:
            return
        if not clean:
            self.close(link)
            return
        if link.calls > 0 and link.state is State.IN_USE:
            self._serve(link)
        elif link.calls <= 0:
            if link.state is State.DRAINING or link.spent():
                self.close(link)
            else:
                self._offer(link)

    def close(self, link: Link) -> None:
        """Close a connection, whatever it does."""
        if link.state is not State.CLOSED:
            self._shed(link)
            self._pump_all()

    def strike(self, link: Link) -> None:
        """Repair: a connection whose descriptor is gone leaves the books, and its calls have ended."""
        if link.state is not State.CLOSED:
            self._strike(link)
            link.abandon()
            self._pump_all()

    def close_to(self, node: str) -> None:
        """Nothing new goes to a node: idle connections are closed now, those in use once they are free."""
        for link in self.books.idle_to(node):
            self.close(link)
        for link in self.books.used_to(node):
            self.books.move(link, State.DRAINING)

    def warm(self, node: str, address: Address) -> None:
        """Open a connection ahead of the first claim, where there is room and none yet."""
        taken = self.books.count(node, State.IDLE) + self.books.count(node, State.OPENING)
        free = not self.books.full() and not self._holds.active(node)
        if not taken and not self.books.count(node, State.IN_USE) and free:
            circuit = self._circuits.get((node, address))
            if circuit is None and self._open(node, address):
                self._count("connections_warmed")

    def retire(self, now: float) -> None:
        """Close what was idle for long, and forget what is old."""
        while (old := self.books.oldest_idle()) is not None and now - old.idle_since >= self._idle_most:
            self.close(old)
        for key in [k for k, c in self._circuits.items() if now > c.open_until + _CIRCUIT_KEPT]:
            del self._circuits[key]
        self._holds.forget(now - _CIRCUIT_KEPT)

    def shed_idle(self) -> bool:
        """Close the connection that has stood idle for longest; False where none does."""
        oldest = self.books.oldest_idle()
        if oldest is None:
            return False
        self._shed(oldest)
        self._count("idle_shed")
        return True

    def idle(self) -> int:
        """How many connections stand idle."""
        return self.books.idle()

    def waiting(self) -> int:
        """How many claims wait for a connection."""
        return sum(map(len, self._waiting.values()))

    def end(self) -> None:
        """Close all; nobody is told."""
        for tickets in list(self._waiting.values()):
            for ticket in list(tickets):
                self.cancel(ticket)
        for link in list(self.books):
            self.close(link)

    # --- what links tell ----------------------------------------------------------------------------

    def came_up(self, link: Link) -> None:
        self._began.pop(link, None)
        self._circuits.pop((link.node, link.address), None)
        self._count("node_connections")
        try:
            link.conversation = self._speak(link)
        except Exception as error:  # an unforeseen fault costs this connection
            self.fault(error)
            self.close(link)
            return
        self._offer(link)
        self._pump_all()  # one connect fewer is out, and the circuit is closed again

    def went_down(self, link: Link, error: OSError | None) -> None:
        opening = link.state is State.OPENING
        if link.state is not State.CLOSED:
            self._strike(link)
        if opening and isinstance(error, LocalError):
            circuit = self._circuits.get((link.node, link.address))
            if circuit is not None:
                circuit.called_off()
            self._hold(link.node, error)
        elif opening:
            self._count("connects_failed")
            self._connect_failed(link)
            ticket = self._first(link)
            if ticket is not None and self._leave(ticket):
                self._tell(ticket, NoConnection.UPSTREAM)
            self._fail_if_hopeless(link.node)
        self._pump_all()

    def fault(self, error: Exception) -> None:
        self._count("connection_faults")
        self._log("error", f"fault on a connection: {type(error).__name__}: {error}")

    # --- the inside ---------------------------------------------------------------------------------

    def _strike(self, link: Link) -> None:
        """Out of the books."""
        self._began.pop(link, None)
        self.books.move(link, State.CLOSED)

    def _shed(self, link: Link) -> None:
        """Close one to make room, and offer that room to nobody else."""
        self._strike(link)
        link.close()

    def _first(self, link: Link) -> Ticket | None:
        """Who waits first for a connection such as this."""
        return next((t for t in self._waiting.get(link.node, ()) if t.address == link.address), None)

    def _free(self, node: str, address: Address, unsafe: bool) -> Link | None:
        """The idle connection used last, if it is young, leads to the address of now, and is alive with
        nothing to read: asked here, right before the first byte."""
        if self._calls > 1:
            for link in self.books.used_to(node):
                if link.calls < self._calls and link.address == address:
                    return link
        now = -1.0
        while (idle := self.books.youngest_idle(node)) is not None:
            link, now = idle, self._clock() if now < 0.0 else now
            age = now - link.idle_since
            if link.address != address or age >= self._idle_most:
                self.close(link)  # and all older ones after it
            elif self.risk.too_old(now, age, unsafe):
                if not self.risk.too_old(now, age):
                    return None  # good enough for other jobs
                self.close(link)
            elif not link.alive():
                self.close(link)
            else:
                self.books.move(link, State.IN_USE)
                return link
        return None

    def _open(self, node: str, address: Address) -> bool:
        """Begin a connect, if it can be had. Where it is this machine that cannot, none begins to there for a
        moment."""
        if self.books.full():
            oldest = self.books.oldest_idle()
            if oldest is None:
                return False
            self._shed(oldest)
            self._count("idle_shed")
        for last in (False, True):
            link = Link(asyncio.get_running_loop(), self, node, address)
            try:
                link.open(self._connect_timeout)
            except LocalError as error:
                oldest = self.books.oldest_idle()
                if error.exhausted and not last and oldest is not None:
                    self._tell_operators(node, error)
                    self._shed(oldest)
                    continue
                self._hold(node, error)
                return False
            except OSError:
                self._count("connects_failed")
                self._connect_failed(link)
                return False
            break
        self.books.move(link, State.OPENING)
        self._began[link] = self._clock()
        self._holds.begun(node)
        circuit = self._circuits.get((node, address))
        if circuit is not None:
            circuit.began()
        return True

    def _hold(self, node: str, error: LocalError) -> None:
        """This machine could not connect. Nothing is booked for the upstream; who waits goes on waiting, and
        the connect is made again after a backoff."""
        self._tell_operators(node, error)
        where = None if error.exhausted else node
        delay = self._holds.start(self._clock(), where)
        asyncio.get_running_loop().call_later(delay, self._release, where)

    def _tell_operators(self, node: str, error: LocalError) -> None:
        """Count what this machine lacks, and log it now and then."""
        self._count("descriptors_run_out" if error.exhausted else "connects_without_a_way")
        now = self._clock()
        if now - self._local_logged >= _LOCAL_LOGGED:
            self._local_logged = now
            what = "no descriptor for a connection" if error.exhausted else f"no way from here to {node}"
            self._log("error", f"{what}: {error}")

    def _release(self, node: str | None) -> None:
        """The backoff is over: connects to ``node``, or to any, may begin again."""
        self._holds.release(self._clock(), node)
        if node is None:
            self._pump_all()
        else:
            self._pump(node)

    def _connect_failed(self, link: Link) -> None:
        key = link.node, link.address
        circuit = self._circuits.get(key)
        if circuit is None:
            circuit = self._circuits[key] = Circuit(self._random)
        if circuit.failed(self._clock()):
            self._count("circuits_opened")
            self._log("warning", f"connects to {link.node} fail, one after another: fewer are tried")

    def _offer(self, link: Link) -> None:
        """A connection is free: for who waits first, else idle."""
        if link.state is State.OPENING or link.calls <= 0:
            ticket = self._first(link)
            if ticket is None:
                link.idle_since = self._clock()
                self.books.move(link, State.IDLE)
                if self._waiting:
                    self._pump_all()  # it may have to make room for who waits elsewhere
                return
            if link.state is not State.IN_USE:
                self.books.move(link, State.IN_USE)
            self._leave(ticket)
            link.calls += 1
            self._tell(ticket, link)
        self._serve(link)

    def _serve(self, link: Link) -> None:
        """Let others who wait use a connection that carries more than one call."""
        while 0 < link.calls < self._calls and link.state is State.IN_USE:
            ticket = self._first(link)
            if ticket is None:
                return
            self._leave(ticket)
            link.calls += 1
            self._tell(ticket, link)

    def _tell(self, ticket: Ticket, link: Link | NoConnection) -> None:
        if ticket.timer is not None:
            ticket.timer.cancel()
            ticket.timer = None
        try:
            ticket.ready(link)
        except Exception as error:  # costs this call
            self.fault(error)
            if isinstance(link, Link):
                self.give_back(link, False)

    def _tell_soon(self, ticket: Ticket) -> None:
        """Tell that there is none, a little later: whoever is at work now may be deep in its own books."""
        if ticket.timer is not None:
            ticket.timer.cancel()
        ticket.timer = asyncio.get_running_loop().call_soon(self._tell, ticket, NoConnection.UPSTREAM)

    def _leave(self, ticket: Ticket) -> bool:
        """Take a ticket out of its queue; False where it was out already."""
        tickets = self._waiting.get(ticket.node)
        if tickets is None or ticket not in tickets:
            return False
        del tickets[ticket]
        if not tickets:
            del self._waiting[ticket.node]
        return True

    def _too_late(self, ticket: Ticket) -> None:
        ticket.timer = None
        for link in self.books.opening_to(ticket.node):
            if ticket in self._waiting.get(ticket.node, ()):
                link.settle()  # it may be up, and the loop too late to say so
        if self._leave(ticket):
            local = self.held_back(ticket)
            self._drop_surplus(ticket, failed=not local)
            self._tell(ticket, NoConnection.LOCAL if local else NoConnection.UPSTREAM)

    def _drop_surplus(self, ticket: Ticket, failed: bool) -> None:
        """One waits less: of the connects that are out for the node one may be too many."""
        node = ticket.node
        if self.books.count(node, State.OPENING) <= len(self._waiting.get(node, ())):
            return
        link = self.books.oldest_opening(node)
        if link is None:
            return
        circuit = self._circuits.get((link.node, link.address))
        if failed and self._began.get(link, ticket.since) <= ticket.since:
            self._count("connects_failed")
            self._connect_failed(link)  # it had all the time that its claim could give
        elif circuit is not None:
            circuit.called_off()
        self.close(link)
        self._fail_if_hopeless(node)

    def _fail_if_hopeless(self, node: str) -> None:
        """End the waits for a node that no connect is out for, where its circuit lets none begin."""
        if self.books.count(node, State.OPENING):
            return
        now = self._clock()
        for ticket in list(self._waiting.get(node, ())):
            circuit = self._circuits.get((node, ticket.address))
            if circuit is not None and not circuit.allows(now) and self._leave(ticket):
                self._count("connects_not_tried")
                self._tell_soon(ticket)

    def _pump(self, node: str) -> None:
        """Open what those who wait for a node need, within the bounds."""
        while True:
            tickets = self._waiting.get(node)
            if not tickets or self.books.count(node, State.OPENING) * self._calls >= len(tickets):
                return
            if self._holds.active(node):
                return
            ticket = next(iter(tickets))
            circuit = self._circuits.get((node, ticket.address))
            if circuit is not None and not circuit.allows(self._clock()):
                return
            if not self.books.room(node) or not self._open(node, ticket.address):
                if not self._all_taken(node) and self._leave(ticket):
                    # Not even a connect could begin, and no connection will come free for it.
                    self._tell_soon(ticket)
                    continue
                return

    def _all_taken(self, node: str) -> bool:
        """Whether something may come free for who waits: bounds are reached, connects are out, or this
        machine is to try again."""
        out = bool(self.books.count(node, State.OPENING)) or self._holds.active(node)
        return out or self.books.full() or not self.books.room(node)

    def _pump_all(self) -> None:
        """A connection has gone: there may be room for those who wait."""
        if self._pumping or not self._waiting:
            return
        self._pumping = True
        try:
            for node in list(self._waiting):
                self._pump(node)
                if self.books.full() and self.books.oldest_idle() is None:
                    break
        finally:
            self._pumping = False
