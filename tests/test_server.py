import asyncio
import socket

import testtools

from poplaryard.server import HttpServer


async def empty(scope, receive, send):
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    await send({"type": "http.response.body"})


class ServerTest(testtools.TestCase):
    def test_sockets_have_the_tcp_protocol(self):
        """Guards against Nagle's algorithm, which delays each response by 40 ms."""
        server = HttpServer(empty, "127.0.0.1", 0, count=3)
        self.assertEqual(3, len(set(server.ports)))
        for sock in server._sockets:
            self.assertEqual(socket.IPPROTO_TCP, sock.proto)
            sock.close()

    def test_start_and_stop(self):
        """Guards against a stop that waits for idle connections."""
        asyncio.run(asyncio.wait_for(self._start_and_stop(), 10))

    async def _start_and_stop(self):
        server = HttpServer(empty, "127.0.0.1", 0)
        await server.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.ports[0])
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertIn(b"200", await reader.readline())
        await server.stop()
        writer.close()
