import asyncio
import json
import socket

import testtools

from poplaryard.client import HttpClient
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
        """Guards against an unknown outcome of a call that had no effect."""
        asyncio.run(self._refused())

    async def _refused(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        client = HttpClient()
        exc = await self._failure(client.post(f"http://127.0.0.1:{port}/", {}, 1.0))
        self.assertEqual(Code.PEER_UNREACHABLE, exc.code)
        await client.close()

    async def _failure(self, call):
        try:
            await call
        except PoplaryardError as exc:
            return exc
        self.fail("the call succeeded")
