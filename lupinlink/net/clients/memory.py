"""What one connection of a client holds, as counted by the account of memory."""

from __future__ import annotations

from lupinlink.limits.memory_account import Holding, MemoryAccount, MemoryKind
from lupinlink.net.twisted_types import Transport, buffered


class ConnectionMemory:
    """The bytes that a client has sent and that are not used yet, and its answers that are not taken yet."""

    def __init__(self, account: MemoryAccount) -> None:
        self._received = Holding(account, MemoryKind.RECEIVED)
        self._answers = Holding(account, MemoryKind.ANSWERS)

    @property
    def received_bytes(self) -> int:
        """What is held of requests that have not come whole, or wait behind the open one."""
        return self._received.bytes

    def holds_received(self, count: int) -> None:
        """So much is held of what the client has sent."""
        self._received.set(count)

    def count_unsent(self, transport: Transport) -> bool:
        """Count what the kernel has not taken of the answers; returns whether there is any."""
        self._answers.set(buffered(transport))
        return self._answers.bytes > 0

    def release(self) -> None:
        """The connection has ended: nothing is held for it any more."""
        self._received.set(0)
        self._answers.set(0)
