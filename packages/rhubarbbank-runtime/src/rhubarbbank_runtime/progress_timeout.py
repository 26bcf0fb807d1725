"""Time limits for HTTP calls whose responses may be large.

A limit on a whole call gives up a response that is still arriving. The next
attempt starts from its first byte, so that on a slow link a large response
never arrives, and the link is full of bytes that are thrown away.
"""

import aiohttp


def build_timeout(
    *, silence_s: float, transfer_s: float
) -> aiohttp.ClientTimeout:
    """Returns the time limits of a call.

    Args:
        silence_s: The longest time to connect, and then without a byte of the
            response, in seconds.
        transfer_s: How much longer the whole call may take while bytes keep
            arriving, in seconds.
    """
    return aiohttp.ClientTimeout(
        total=silence_s + transfer_s, connect=silence_s, sock_read=silence_s
    )
