"""Calls of an ASGI application without a socket."""

import json


async def call(app, method, path, body=b"", key="", headers=()):
    """Return the status and the decoded body of one call."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    path, _, query = path.partition("?")
    found = [(name.encode(), value.encode()) for name, value in headers]
    if key:
        found.append((b"authorization", f"Bearer {key}".encode()))
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": found,
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": data}

    async def send(msg):
        sent.append(msg)

    try:
        await app(scope, receive, send)
    except Exception:
        # starlette raises a handler's error again after it has sent the response.
        if not sent:
            raise
    text = b"".join(msg.get("body", b"") for msg in sent)
    return sent[0]["status"], json.loads(text) if text else None
