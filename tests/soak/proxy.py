"""Loopback proxy that delays, resets, cuts and silences connections."""

import asyncio
import contextlib


class Proxy:
    """Forwards to one address.

    ``mode`` is "ok", "delay", "reset", "cut" (nothing passes) or "one_way" (requests
    pass, answers do not). Connections live on through a cut, as over a real network.
    """

    DELAY_S = 0.15

    def __init__(self, target):
        self._target = target
        self._writers = set()
        self._requests_pass = asyncio.Event()
        self._answers_pass = asyncio.Event()
        self.set("ok")
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self):
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def set(self, mode):
        self.mode = mode
        for passes, blocked in (
            (self._requests_pass, mode == "cut"),
            (self._answers_pass, mode in ("cut", "one_way")),
        ):
            if blocked:
                passes.clear()
            else:
                passes.set()
        if mode == "reset":
            self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        host, _, port = self._target.rpartition(":")
        back = None
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if self.mode != "reset":
                answers, back = await asyncio.open_connection(host, int(port))
                await asyncio.gather(
                    self._pass(reader, back, False), self._pass(answers, writer, True)
                )
        for end in (writer, back):
            if end is not None:
                end.transport.abort()
        self._writers.discard(writer)
        self._tasks.discard(task)

    async def _pass(self, reader, writer, answer):
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(self.DELAY_S)
            await (self._answers_pass if answer else self._requests_pass).wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
