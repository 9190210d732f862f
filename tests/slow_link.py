"""Server behind a slow link, for tests."""

import asyncio
import contextlib

from poplaryard.client import HttpClient

# Bandwidth of the slowest link of the users, in bytes a second, and time between two
# pieces of a response, in seconds.
LINK_BYTES_PER_S = 625_000
PIECE_S = 0.05


class SlowServer:
    """Server whose responses take the time of a slow link.

    ``delay_s`` is the time before the response, ``silent_after`` the number of bytes
    after which nothing more is sent, and ``bytes_per_s`` the bandwidth.
    """

    def __init__(
        self,
        content,
        delay_s=0.0,
        silent_after=None,
        bytes_per_s=LINK_BYTES_PER_S,
    ):
        head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(content)}\r\n\r\n"
        self._pieces = [head.encode()]
        size = int(bytes_per_s * PIECE_S)
        end = len(content) if silent_after is None else silent_after
        self._pieces += [content[n : min(n + size, end)] for n in range(0, end, size)]
        self._delay_s = delay_s

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(self._delay_s)
            for piece in self._pieces:
                writer.write(piece)
                await asyncio.sleep(PIECE_S)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass  # the client has closed the connection
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def started(self):
        """Yield a client and the address of the server."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        client = HttpClient()
        port = server.sockets[0].getsockname()[1]
        try:
            yield client, f"127.0.0.1:{port}"
        finally:
            await client.close()
            server.close()
