import asyncio

import aiosonic.client
import pytest

from poplaryard.client import HttpClient
from poplaryard.waiting import wait_until_set


async def cancelled_after(ticks, coro, complete):
    """Return whether a task ends as cancelled if it is cancelled after its result.

    The cancellation comes `ticks` iterations of the event loop after `complete`; None
    if the task had ended by then.
    """
    task = asyncio.create_task(coro)
    for _ in range(10):
        await asyncio.sleep(0)
    complete()
    for _ in range(ticks):
        await asyncio.sleep(0)
    if not task.cancel():
        return None
    await asyncio.wait([task])
    return task.cancelled()


@pytest.mark.parametrize("ticks", range(5))
def test_event_that_is_set_does_not_swallow_a_cancellation(ticks):
    """Guards against a loop that goes on after its task was cancelled."""

    async def scenario():
        event = asyncio.Event()
        return await cancelled_after(ticks, wait_until_set(event, 5.0), event.set)

    assert asyncio.run(scenario()) is not False


@pytest.mark.parametrize("ticks", range(5))
def test_answer_does_not_swallow_a_cancellation(ticks, monkeypatch):
    """Guards against `Node.stop` that waits for a watch which goes on."""

    async def scenario():
        answered = asyncio.Event()

        async def answer(*_):
            await answered.wait()
            response = aiosonic.client.HttpResponse()
            response._set_response_initial(b"HTTP/1.1 200 OK\r\n")
            return response

        monkeypatch.setattr(aiosonic.client, "_do_request", answer)
        call = HttpClient().request_raw("GET", "http://127.0.0.1:1/", None, 5.0)
        return await cancelled_after(ticks, call, answered.set)

    assert asyncio.run(scenario()) is not False


def test_timeout_is_reported():
    """Guards against a wait without end for an event that is never set."""

    async def scenario():
        return await wait_until_set(asyncio.Event(), 0.01)

    assert asyncio.run(scenario()) is False
