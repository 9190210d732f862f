"""Waiting with a timeout that never loses a cancellation."""

import asyncio

__all__ = ["wait_until_set"]


async def wait_until_set(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait until an event is set; return False if the timeout passes first.

    `asyncio.wait_for` of Python 3.11 discards a cancellation that arrives together with
    the result, and the cancelled task then goes on.

    Parameters
    ----------
    timeout_s : float
        Longest time to wait, in seconds.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
