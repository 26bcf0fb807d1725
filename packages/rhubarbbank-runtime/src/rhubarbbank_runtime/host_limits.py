"""Derives the limits on callers' connections from those of the host."""

import mmap
import pathlib
import resource

from rhubarbbank_runtime import held_bytes

BYTES_PER_MB = 1_000_000
# What the process may grow by for its own work.
OWN_GROWTH_BYTES = 16 * BYTES_PER_MB
# A body exists twice while it is completed, and freed memory leaves holes.
COPIES = 3
# The least memory for callers; a body of legal size has to fit.
MIN_CALLER_BYTES = 8 * BYTES_PER_MB
# Descriptors for files, the store, other entries and readiness checks.
RESERVED_DESCRIPTORS = 200
# The other descriptors are for connections to upstreams.
CALLER_DESCRIPTOR_SHARE = 2 / 3
MIN_CONNECTIONS = 16


def read_memory_bytes() -> int:
    """Returns the memory that this process may use, in bytes."""
    limit, _ = resource.getrlimit(resource.RLIMIT_AS)
    text = pathlib.Path("/proc/meminfo").read_text(encoding="ascii")
    total = int(text.split("MemTotal:")[1].split()[0]) * 1024
    return total if limit == resource.RLIM_INFINITY else min(total, limit)


def read_resident_bytes() -> int:
    """Returns the memory that this process uses now, in bytes."""
    text = pathlib.Path("/proc/self/statm").read_text(encoding="ascii")
    return int(text.split()[1]) * mmap.PAGESIZE


def compute_limits(
    *, memory_bytes: int, max_descriptors: int, resident_bytes: int
) -> held_bytes.HoldingLimits:
    """Returns the limits on callers' connections.

    Args:
        memory_bytes: Memory of the process, in bytes.
        max_descriptors: Descriptors that the process may open.
        resident_bytes: Memory that it needs without callers, in bytes.
    """
    free_bytes = memory_bytes - resident_bytes - OWN_GROWTH_BYTES
    max_bytes = max(MIN_CALLER_BYTES, free_bytes // COPIES)
    descriptors = max_descriptors - RESERVED_DESCRIPTORS
    by_descriptors = int(descriptors * CALLER_DESCRIPTOR_SHARE)
    # Half of the memory is for what callers send and read.
    by_memory = max_bytes // (2 * held_bytes.CONNECTION_BYTES)
    return held_bytes.HoldingLimits(
        max_bytes=max_bytes,
        max_connections=max(MIN_CONNECTIONS, min(by_memory, by_descriptors)),
        max_running=max(MIN_CONNECTIONS, descriptors - by_descriptors),
    )


def read_limits(
    *, memory_mb: float | None, max_descriptors: int | None
) -> held_bytes.HoldingLimits:
    """Returns the limits on callers' connections.

    Args:
        memory_mb: Memory of the host, in MB; if None, what this process finds.
        max_descriptors: Descriptors that the process may open; if None, its
            own limit.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return compute_limits(
        memory_bytes=int((memory_mb or 0) * BYTES_PER_MB)
        or read_memory_bytes(),
        max_descriptors=max_descriptors or soft,
        resident_bytes=read_resident_bytes(),
    )
