"""Calls to an ASGI application without a socket."""

import json


async def call(app, method, path, body=b"", key="", headers=()):
    """Send a request; return the status and the decoded JSON body of the response."""
    data = body if isinstance(body, bytes) else json.dumps(body).encode()
    path, _, query = path.partition("?")
    header_list = [(name.encode(), value.encode()) for name, value in headers]
    if key:
        header_list.append((b"authorization", f"Bearer {key}".encode()))
    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "query_string": query.encode(),
        "headers": header_list,
    }
    sent = []

    async def receive():
        return {"type": "http.request", "body": data}

    async def send(msg):
        sent.append(msg)

    try:
        await app(scope, receive, send)
    except Exception:
        # Starlette raises a handler's exception again after it has sent the response.
        if not sent:
            raise
    text = b"".join(msg.get("body", b"") for msg in sent)
    return sent[0]["status"], json.loads(text) if text else None
