"""Starts calls at their times, whether earlier ones are answered or not."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

Call = Callable[[int], Awaitable[None]]


async def offer(call: Call, arrivals: Sequence[float]) -> None:
    """Starts call `n` at `arrivals[n]` seconds and waits for all of them.

    Args:
        call: Makes the call of a number.
        arrivals: When calls start, ascending, counted from now.
    """
    loop = asyncio.get_running_loop()
    begin = loop.time()

    async def run(number: int) -> None:
        await call(number)

    async with asyncio.TaskGroup() as group:
        for number, at_s in enumerate(arrivals):
            delay_s = begin + at_s - loop.time()
            if delay_s > 0.0:
                await asyncio.sleep(delay_s)
            group.create_task(run(number))
