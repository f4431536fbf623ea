"""What the client connections of a process share, other than the handler of their requests."""

from __future__ import annotations

from dataclasses import dataclass, field

from indigokeel.net.memory_account import MemoryAccount
from indigokeel.net.turn_scheduler import TurnScheduler

# At most, per read. A connection that must not be read any further holds no more than this unparsed.
READ_BYTES = 16 * 1024


@dataclass(frozen=True, slots=True)
class ClientResources:
    """The scheduler of parsing, the account of held bytes, and the buffer that input is read into."""

    scheduler: TurnScheduler
    memory: MemoryAccount = field(default_factory=MemoryAccount)
    read_buffer: memoryview = field(default_factory=lambda: memoryview(bytearray(READ_BYTES)))
