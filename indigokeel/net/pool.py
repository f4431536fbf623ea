"""The execute-node side: connections, claims on them, and what an answer says of how a claim ended."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import h11
import trio

from indigokeel.facade import Claim, Facade, Outcome
from indigokeel.net import http
from indigokeel.net.counters import Counters

_IDLE_PART = 0.5  # of keepalive-s; an idle connection is not used beyond it: the node closes at the whole
_PROBE_TIME = 1.0  # s for a probe
_MOST_AHEAD = 16  # 1xx answers before the final one


@dataclass(frozen=True, slots=True)
class Task:
    """What of a submitter's message goes on to an execute node, unchanged."""

    method: bytes
    target: bytes
    id: bytes
    key: bytes | None
    body: http.Body
    has_body: bool


@dataclass(frozen=True, slots=True)
class Reply:
    """What came of a claim."""

    outcome: Outcome
    load: dict[str, float] | None = None
    body: http.Body | None = None


class Pool:
    """Connections to execute nodes; idle ones are kept for the next claim."""

    def __init__(
        self, facade: Facade, counters: Counters, connect_timeout: float, keepalive: float, most: int
    ) -> None:
        self._facade, self._counters = facade, counters
        self._connect_timeout, self._idle_most = connect_timeout, keepalive * _IDLE_PART
        self._most = most
        self._idle: dict[str, list[tuple[http.Wire, tuple[str, int], float]]] = {}
        self._scopes: dict[tuple[str, int], trio.CancelScope] = {}
        self.open = 0

    async def run(self, claim: Claim, task: Task, done: Callable[[Claim, Reply], None]) -> None:
        """Carry a claim through. ``done`` is called once, unless the claim is given up before."""
        with trio.CancelScope() as scope:
            self._scopes[claim.job, claim.number] = scope
            try:
                reply = await self._claim(claim, task)
            except Exception as error:  # an unforeseen fault is this claim's ending and nobody else's
                self._counters.add("claim_faults")
                self._counters.log(f"fault in a claim: {type(error).__name__}: {error}")
                reply = Reply(Outcome.BROKEN)
            finally:
                self._scopes.pop((claim.job, claim.number), None)
            self._counters.add("claim_" + reply.outcome.name.lower())
            done(claim, reply)

    def give_up(self, job: str, number: int) -> None:
        """Stop a claim; its connection is closed on the way out."""
        scope = self._scopes.get((job, number))
        if scope is not None:
            self._counters.add("claim_given_up")
            scope.cancel()

    def close_idle(self, node: str) -> None:
        for wire, _, _ in self._idle.pop(node, ()):
            self._close(wire)

    def retire(self, now: float) -> None:
        """Close connections that were idle for long."""
        for node, kept in list(self._idle.items()):
            old = [entry for entry in kept if now - entry[2] >= self._idle_most]
            for entry in old:
                kept.remove(entry)
                self._close(entry[0])
            if not kept:  # names come and go for ever; only those in use are kept
                del self._idle[node]

    async def probe(self, node: str) -> tuple[Outcome, dict[str, float] | None]:
        """Ask an execute node for its load."""
        address = self._facade.address(node)
        if address is None:
            return Outcome.MOOT, None
        wire = None
        with trio.move_on_after(_PROBE_TIME):
            try:
                wire = await self._open(address)
                await wire.send_message(
                    h11.Request(method=b"GET", target=b"/_load", headers=[_host(address)])
                )
                reply = await self._reply(wire)
                if reply.outcome is not Outcome.SERVED:
                    # 503 is the one other answer to a probe: not now, which is no fault of the node.
                    return Outcome.TURNED_AWAY, reply.load
                text = b"".join(reply.body or ()).decode("latin-1")
                return Outcome.SERVED, reply.load or http.load_figures(text.removeprefix("Server-Load:"))
            except (*http.BROKEN, http.BodyTooLargeError):
                return Outcome.NO_CONNECTION if wire is None else Outcome.BROKEN, None
            finally:
                if wire is not None:
                    self._close(wire)
        return Outcome.TIMED_OUT, None

    async def _claim(self, claim: Claim, task: Task) -> Reply:
        address = self._facade.address(claim.node)
        if address is None:
            return Reply(Outcome.MOOT)
        wire = self._take_idle(claim.node, address)
        if wire is None:
            try:
                with trio.fail_after(self._connect_timeout):
                    wire = await self._open(address)
            except (OSError, trio.TooSlowError):
                return Reply(Outcome.NO_CONNECTION)
        keep = False
        try:
            # The node may have begun to drain, or the job be over, while the connection came up.
            if not self._facade.begin(trio.current_time(), claim):
                keep = wire.http.our_state is h11.IDLE
                return Reply(Outcome.MOOT)
            remaining = max(int((claim.until - trio.current_time()) * 1000.0), 1)
            headers = [_host(address), (b"Request-Id", task.id), (b"Request-Timeout-Ms", b"%d" % remaining)]
            if task.key is not None:
                headers.append((b"Idempotency-Key", task.key))
            if task.has_body:
                headers.append((b"Content-Length", b"%d" % sum(len(piece) for piece in task.body)))
            head = h11.Request(method=task.method, target=task.target, headers=headers)
            self._counters.add("claims_sent")
            reply = await self._send(wire, head, task)
            # Guards against the answer that brings more than belongs to it: what is left over, read or not,
            # would pass for the next job's answer.
            keep = (
                reply.outcome is not Outcome.BROKEN
                and wire.http.our_state is h11.DONE
                and wire.http.their_state is h11.DONE
                and not wire.http.trailing_data[0]
                and not wire.readable()
            )
            return reply
        finally:
            if keep and self._facade.address(claim.node) == address:
                if wire.http.our_state is h11.DONE:
                    wire.http.start_next_cycle()
                self._idle.setdefault(claim.node, []).append((wire, address, trio.current_time()))
            else:
                self._close(wire)

    async def _send(self, wire: http.Wire, head: h11.Request, task: Task) -> Reply:
        try:
            await wire.send_message(head, task.body if task.has_body else ())
        except http.BROKEN:
            # Not all of it was written, so it cannot have run.
            return Reply(Outcome.NO_CONNECTION)
        try:
            return await self._reply(wire)
        except (*http.BROKEN, http.BodyTooLargeError):
            return Reply(Outcome.BROKEN)

    async def _reply(self, wire: http.Wire) -> Reply:
        """Read one answer and say what it means for the claim."""
        event = await wire.next_event()
        for _ in range(_MOST_AHEAD):
            if not isinstance(event, h11.InformationalResponse):
                break
            event = await wire.next_event()
        if not isinstance(event, h11.Response) or not _sound(event):
            return Reply(Outcome.BROKEN)
        body = await wire.read_body()
        load = http.load_figures(http.header(event.headers, b"server-load"))
        if event.status_code == 200:
            return Reply(Outcome.SERVED, load, body)
        # Only the node's own word proves that it never began.
        if event.status_code in (503, 504) and http.header(event.headers, b"not-started") == "1":
            return Reply(Outcome.TURNED_AWAY, load)
        return Reply(Outcome.ERROR, load)

    async def _open(self, address: tuple[str, int]) -> http.Wire:
        if self.open >= self._most:
            self._shed_idle()
        if self.open >= self._most:
            raise OSError("no descriptor to spare for a connection")
        self.open += 1
        try:
            wire = await http.connect(address, h11.CLIENT)
        except BaseException:
            self.open -= 1
            raise
        self._counters.add("node_connections")
        return wire

    def _take_idle(self, node: str, address: tuple[str, int]) -> http.Wire | None:
        """The idle connection used last, if it is young, leads to the address of now, and is alive."""
        kept = self._idle.get(node, [])
        while kept:
            wire, where, since = kept.pop()
            if where == address and trio.current_time() - since < self._idle_most and not wire.readable():
                return wire
            self._close(wire)
        return None

    def _shed_idle(self) -> None:
        oldest = min(
            (kept for kept in self._idle.values() if kept), key=lambda kept: kept[0][2], default=None
        )
        if oldest:
            self._close(oldest.pop(0)[0])

    def _close(self, wire: http.Wire) -> None:
        self.open -= 1
        wire.close()


def _sound(head: h11.Response) -> bool:
    """Whether an answer says in one way, and one way only, where it ends. Without a length a broken one
    passes for whole; with two, what follows it may be taken for its body or the other way round."""
    names = [name for name, _ in head.headers]
    return (b"content-length" in names) != (b"transfer-encoding" in names)


def _host(address: tuple[str, int]) -> tuple[bytes, bytes]:
    return b"Host", f"{address[0]}:{address[1]}".encode()
