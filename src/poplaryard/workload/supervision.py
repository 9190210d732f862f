"""Restart of loops after unexpected errors."""

import asyncio
import random
import typing as t

from ..limits import backoff_s
from ..logs import logger

__all__ = ["run_restarting"]

# Exponential backoff between two starts of a loop: initial and maximum limit of the
# pause, in seconds.
RESTART_PAUSE_S = 0.2
RESTART_PAUSE_MAX_S = 5.0
# A loop that has run for this long counts as recovered, in seconds.
RECOVERED_S = 10.0


async def run_restarting(
    name: str, work: t.Callable[[], t.Coroutine[t.Any, t.Any, None]]
) -> None:
    """Run a loop until it returns or is cancelled.

    After an unexpected error it is started again. The error may be due to an entry of
    the store that every process reads, so ending the process would end all of them.

    Parameters
    ----------
    name : str
        Name of the loop for the log.
    work : callable
        Returns the coroutine of one start of the loop.
    """
    loop = asyncio.get_running_loop()
    rng = random.Random()
    failures = 0
    while True:
        began = loop.time()
        try:
            await work()
            return
        except Exception as exc:
            if loop.time() - began > RECOVERED_S:
                failures = 0
            failures += 1
            extra = {"task": name, "failures": failures}
            logger.critical("task failed; starting it again", exc_info=exc, extra=extra)
        pause_s = backoff_s(rng, failures, RESTART_PAUSE_S, RESTART_PAUSE_MAX_S)
        await asyncio.sleep(pause_s)
