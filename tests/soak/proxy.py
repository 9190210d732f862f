"""Loopback proxy that delays, resets and blocks connections."""

import asyncio
import contextlib


class Proxy:
    """Proxy of one address.

    Connections stay open during a cut, as over a real network.

    Attributes
    ----------
    mode : str
        "ok", "delay", "reset", "cut" (nothing passes) or "one_way" (requests pass,
        answers do not).
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
        """Change the mode; "reset" also resets the open connections."""
        self.mode = mode
        for gate, blocked in (
            (self._requests_pass, mode == "cut"),
            (self._answers_pass, mode in ("cut", "one_way")),
        ):
            if blocked:
                gate.clear()
            else:
                gate.set()
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
        target_writer = None
        with contextlib.suppress(OSError, asyncio.CancelledError):
            if self.mode != "reset":
                target_reader, target_writer = await asyncio.open_connection(
                    host, int(port)
                )
                await asyncio.gather(
                    self._forward(reader, target_writer, False),
                    self._forward(target_reader, writer, True),
                )
        for end in (writer, target_writer):
            if end is not None:
                end.transport.abort()
        self._writers.discard(writer)
        self._tasks.discard(task)

    async def _forward(self, reader, writer, answer):
        """Forward data until the connection ends, then raise ConnectionResetError.

        The error makes `_serve` close both connections.
        """
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(self.DELAY_S)
            await (self._answers_pass if answer else self._requests_pass).wait()
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError
