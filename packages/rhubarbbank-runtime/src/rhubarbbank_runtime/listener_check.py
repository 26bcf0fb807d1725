"""Checks whether a host refuses connections to an address."""

import asyncio

TIMEOUT_S = 1.0


async def is_refused(address: str) -> bool:
    """Returns whether the host refuses the connection.

    A refusal proves that no process listens at the address. A timeout,
    an unreachable network or a connection that is lost later proves nothing
    about the process, so each of them returns False.

    Args:
        address: "ip:port".
    """
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    writer.close()
    return False
