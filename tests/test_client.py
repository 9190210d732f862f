import asyncio
import contextlib
import json
import socket

import testtools

from poplaryard.client import HttpClient, _Connection
from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from poplaryard.server import HttpServer


async def echo(scope, receive, send):
    """Return the request's body after the delay `wait_s` that it contains."""
    data = (await receive())["body"]
    await asyncio.sleep(json.loads(data)["wait_s"])
    headers = [(b"content-length", str(len(data)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body", "body": data})


class ClientTest(testtools.TestCase):
    def test_response_to_a_cancelled_call_is_not_given_to_the_next(self):
        """Guards against the reuse of a connection with an outstanding response."""
        asyncio.run(self._cancelled())

    async def _cancelled(self):
        server = HttpServer(echo, "127.0.0.1", 0, graceful_s=0.1)
        await server.start()
        client = HttpClient(connections=1)
        url = f"http://127.0.0.1:{server.ports[0]}/"
        first = {"wait_s": 0, "name": "first"}
        self.assertEqual(first, (await client.post(url, first, 5.0)).body)
        exc = await self._failure(client.post(url, {"wait_s": 0.3}, 0.1))
        self.assertEqual(Code.PEER_TIMEOUT, exc.code)
        third = {"wait_s": 0, "name": "third"}
        self.assertEqual(third, (await client.post(url, third, 5.0)).body)
        await client.close()
        await server.stop()

    def test_call_with_a_refused_connection_counts_as_not_sent(self):
        """Guards against reporting an unsent call as one that may have taken effect."""
        asyncio.run(self._refused())

    async def _refused(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        client = HttpClient()
        exc = await self._failure(client.post(f"http://127.0.0.1:{port}/", {}, 1.0))
        self.assertEqual(Code.PEER_UNREACHABLE, exc.code)
        await client.close()

    def test_call_uses_no_connection_that_the_server_has_closed(self):
        """Guards against calls that fail after the restart of a server.

        Such a call counts as one that may have taken effect. Pattern: a burst opens
        many connections to a server, which then restarts.
        """
        asyncio.run(self._closed_while_idle())

    async def _closed_while_idle(self):
        server = HttpServer(echo, "127.0.0.1", 0, graceful_s=0.1)
        await server.start()
        port = server.ports[0]
        client = HttpClient()
        url = f"http://127.0.0.1:{port}/"
        burst = (client.post(url, {"wait_s": 0.05}, 5.0) for _ in range(8))
        await asyncio.gather(*burst)
        await server.stop()
        server = HttpServer(echo, "127.0.0.1", port, graceful_s=0.1)
        await server.start()
        for number in range(8):
            body = {"wait_s": 0, "number": number}
            self.assertEqual(body, (await client.post(url, body, 5.0)).body)
        await client.close()
        await server.stop()

    async def _failure(self, call):
        try:
            await call
        except PoplaryardError as exc:
            return exc
        self.fail("the call succeeded")


class ConnectionTest(testtools.TestCase):
    def test_connection_lost_before_the_data_is_sent_raises_nothing(self):
        """Guards against errors in the event loop when many connections are reset.

        Pattern: a process wakes from a pause, and calls over connections that are lost
        in the same iteration of the event loop.
        """
        asyncio.run(self._lost_before_flush())

    async def _lost_before_flush(self):
        errors = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: errors.append(context))
        conn = _Connection(None)
        conn.writer = ClosedWriter()
        conn.write(b"GET / HTTP/1.1")
        await asyncio.sleep(0.01)
        self.assertEqual([], errors)


class ClosedWriter:
    """Writer whose transport raises once it is closed, as that of uvloop does."""

    def is_closing(self):
        return True

    def write(self, data):
        raise RuntimeError("the handler is closed")


class PoolTest(testtools.TestCase):
    def test_more_hosts_than_connections_replace_only_the_idle_ones(self):
        """Guards against busy hosts that connect for each call once the pool is full.

        Pattern: a burst binds all connections to many hosts; afterwards few are used.
        """
        asyncio.run(self._full_pool())

    async def _full_pool(self):
        opened = 0

        async def count(reader, writer):
            nonlocal opened
            opened += 1
            with contextlib.closing(writer):
                while await reader.read(4096):
                    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}")

        servers = [await asyncio.start_server(count, "127.0.0.1", 0) for _ in range(4)]
        urls = [f"http://127.0.0.1:{s.sockets[0].getsockname()[1]}/" for s in servers]
        client = HttpClient(connections=3)
        for url in [*urls, *urls[2:] * 10]:
            self.assertEqual(200, (await client.post(url, {}, 5.0)).status)
        self.assertEqual(4, opened)
        await client.close()
        await asyncio.sleep(0.05)
        for server in servers:
            server.close()
