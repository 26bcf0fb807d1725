"""Measures for how long a coroutine blocks the event loop."""

import asyncio
import contextlib
import gc
import time


@contextlib.contextmanager
def freeze_old_objects():
    """Excludes the objects of earlier scenarios from garbage collection.

    Otherwise collecting them would count as time that the decoder blocks.
    """
    gc.collect()
    gc.freeze()
    try:
        yield
    finally:
        gc.unfreeze()


async def measure_longest_block_s(work):
    """Returns the longest time for which a coroutine blocks the event loop.

    The time is CPU time of this thread, in seconds.
    """
    longest = 0.0
    task = asyncio.ensure_future(work)
    while not task.done():
        started = time.thread_time()
        await asyncio.sleep(0)
        longest = max(longest, time.thread_time() - started)
    await task
    return longest
