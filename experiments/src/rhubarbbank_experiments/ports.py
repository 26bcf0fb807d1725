"""Finds ports for the processes of a fleet.

A fleet names its ports some time before its processes listen on them. The
system gives outgoing connections source ports of a range of its own, and a
port that a connection has can't be listened on; so the fleet's ports lie below
that range. Fleets that are started by several processes at once get ports of
different blocks: a process locks a file for each block that it uses.
"""

import collections
import contextlib
import fcntl
import os
import pathlib
import socket
import tempfile
from typing import IO

FIRST_PORT = 10_000
# The lowest port that outgoing connections usually get.
END_PORT = 32_768
PORTS_A_BLOCK = 100
BLOCKS = (END_PORT - FIRST_PORT) // PORTS_A_BLOCK
# The processes that use a block may end some time after the next one is begun.
BLOCKS_KEPT = 4
LOCAL = "127.0.0.1"


class PortFinder:
    """Hands out ports that nothing listens on, each once in a long while.

    Attributes:
        block: The block that it hands out ports of.
        next_port: Where it looks next; the end of the block if it has none.
        locks: The locked files of the latest blocks, oldest first.
    """

    def __init__(self, *, seed: int) -> None:
        self.block = seed % BLOCKS
        self.next_port = FIRST_PORT + self.block * PORTS_A_BLOCK
        self.locks: collections.deque[IO[bytes]] = collections.deque()

    def find(self) -> int:
        """Returns a port that nothing listens on at this moment.

        Raises:
            RuntimeError: Other processes use all blocks.
        """
        while True:
            if not self.locks or self.next_port % PORTS_A_BLOCK == 0:
                self.lock_block()
            port = self.next_port
            self.next_port += 1
            if is_free(port):
                return port

    def lock_block(self) -> None:
        """Locks the next block that no other finder uses."""
        first = self.block if not self.locks else self.block + 1
        while len(self.locks) >= BLOCKS_KEPT:
            self.locks.popleft().close()
        for step in range(BLOCKS):
            block = (first + step) % BLOCKS
            lock = try_lock(block)
            if lock is not None:
                self.locks.append(lock)
                self.block = block
                self.next_port = FIRST_PORT + block * PORTS_A_BLOCK
                return
        message = "all blocks of ports are in use; end other test runs"
        raise RuntimeError(message)


def try_lock(block: int) -> IO[bytes] | None:
    """Locks the file of a block; returns None if another finder has it."""
    name = f"rhubarbbank-ports-{os.getuid()}-{block}.lock"
    with contextlib.ExitStack() as stack:
        path = pathlib.Path(tempfile.gettempdir()) / name
        file = stack.enter_context(path.open("ab"))
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            return None
        stack.pop_all()
        return file


def is_free(port: int) -> bool:
    """Returns whether a process can listen on a port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOCAL, port))
        except OSError:
            return False
    return True


# Fleets of one process follow one another through the range.
FINDER = PortFinder(seed=os.getpid())
