"""Small HTTP/1.1 server and client on asyncio, for stand-ins and test clients."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

MAX_BODY = 16 * 1024 * 1024


class Request:
    """One request: method, path, query (dict), headers (lower case) and raw body."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method, self.path = method, parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers, self.body = headers, body

    def json(self):
        return json.loads(self.body) if self.body else None


async def _read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while (row := await reader.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").strip(), headers


async def _read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return body
    size = int(headers.get("content-length", "0"))
    assert size <= MAX_BODY
    return await reader.readexactly(size) if size else b""


def message(first_line, headers, body):
    lines = [first_line, *(f"{k}: {v}" for k, v in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def serve(handler, port, host="127.0.0.1"):
    """Serve `handler(request) -> (status, object)`; None leaves it unanswered."""

    async def connection(reader, writer):
        try:
            while head := await _read_head(reader):
                method, target, _ = head[0].split(" ", 2)
                body = await _read_body(reader, head[1])
                answer = await handler(Request(method, target, head[1], body))
                if answer is None:
                    # No answer: the connection stays open and is of no further use.
                    await reader.read()
                    return
                content = json.dumps(answer[1]).encode()
                writer.write(
                    message(
                        f"HTTP/1.1 {answer[0]} -",
                        {
                            "content-type": "application/json",
                            "content-length": len(content),
                        },
                        content,
                    )
                )
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            pass  # the scene has ended
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, backlog=256)


async def call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Make a call on a connection of its own; return status and decoded body.

    The status is 0 if there was no answer in time, or a broken one.
    """
    host, _, port = address.rpartition(":")
    content = b"" if body is None else json.dumps(body).encode()
    fields = {
        "host": address,
        "content-type": "application/json",
        "content-length": len(content),
        "connection": "close",
        **(headers or {}),
    }
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message(f"{method} {path} HTTP/1.1", fields, content))
            head = await _read_head(reader)
            if head is None:
                return 0, None
            answer = await _read_body(reader, head[1])
            return int(head[0].split()[1]), json.loads(answer) if answer else None
    except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
