"""Stand-in of the platform's store and of the advice service (PROTOCOL.md)."""

import asyncio
import base64
import time

import wire

PAGE_ITEMS = 500


class Store:
    """Linearizable key-value store with leases, watches and transactions.

    Attributes
    ----------
    answers : bool
        Whether calls of the system are carried out and answered. While it is False no
        call gets an answer, and none is carried out but those that `keep` selects.
    busy : bool
        Whether all calls are refused with 503 and not carried out.
    answer_s : float
        Time that each answer takes. A call is carried out when it arrives.
    keep : callable
        Called with the body of each unanswered transaction; returns the time in seconds
        after which it is carried out all the same, or None.
    """

    def __init__(self, record):
        self._record = record
        self._items = {}
        self._rev = 1
        self._events = []
        self._changed = asyncio.Event()
        self._leases = {}
        self._next_lease = 1000
        self.answers = True
        self.busy = False
        self.answer_s = 0.004
        self.keep = lambda body: None
        self.tasks = set()

    async def run(self):
        """End the leases that have not been renewed; they pause while it is down."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self.answers or self.busy:
                for lease in self._leases.values():
                    lease["until"] += now - last
            last = now
            for name in [n for n, x in self._leases.items() if x["until"] < now]:
                self.end_lease(name)

    def end_lease(self, name):
        if self._leases.pop(name, None) is None:
            return
        keys = [k for k, item in self._items.items() if item["lease"] == name]
        if keys:
            self._rev += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _remove(self, key):
        if self._items.pop(key, None) is not None:
            self._events.append({"key": key, "rev": self._rev, "deleted": True})

    def _notify(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Write one item, as the operator and the executors do."""
        self.transact({"puts": [{"key": key, "value": value, "lease": lease}]})

    def transact(self, body):
        expected = body.get("expected", [])
        for row in expected:
            item = self._items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                found = [self._items.get(r["key"]) for r in expected]
                return 412, {"items": [i for i in found if i]}
        for row in body.get("puts", []):
            if row.get("lease") and row["lease"] not in self._leases:
                return 404, {}
        self._rev += 1
        for row in body.get("puts", []):
            before = self._items.get(row["key"])
            item = {
                "key": row["key"],
                "value": row["value"],
                "rev": self._rev,
                "created": before["created"] if before else self._rev,
                "lease": row.get("lease", 0),
            }
            self._items[row["key"]] = item
            self._events.append(item)
        for key in body.get("remove", []):
            self._remove(key)
        self._notify()
        return 200, {"rev": self._rev}

    def get(self, key):
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    async def handle(self, req):
        """Serve one call of the system or of an executor."""
        name = req.path.removeprefix("/poplaryard/")
        if name == "advise":
            good = [[worker, "t"] for worker in req.json()["workers"]]
            return 200, {"good": good, "valid_ms": 2000}
        if not self.answers:
            if name == "kv-txn":
                late_s = self.keep(req.json())
                if late_s is not None:
                    task = asyncio.create_task(self._late(req.json(), late_s))
                    self.tasks.add(task)
            return None
        if self.busy:
            return 503, {}
        status, answer = await self._call(name, req)
        await asyncio.sleep(self.answer_s)
        return (status, answer) if self.answers else None

    async def _late(self, body, late_s):
        await asyncio.sleep(late_s)
        status, _ = self.transact(body)
        keys = [row["key"] for row in body["puts"]]
        self._record("store", f"carries out a call late: status {status}", keys=keys)

    async def _call(self, name, req):
        query = req.query
        if name == "kv-key":
            item = self._items.get(query["key"])
            return (200, item) if item else (404, {})
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
            return 200, {
                "items": [self._items[k] for k in keys[:PAGE_ITEMS]],
                "at": self._rev,
                "truncated": len(keys) > PAGE_ITEMS,
            }
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self.transact(req.json())
        if name == "kv-lease":
            self._next_lease += 1
            ttl_ms = req.json()["ttl_ms"]
            until = time.monotonic() + ttl_ms / 1000
            self._leases[self._next_lease] = {"ttl": ttl_ms / 1000, "until": until}
            return 200, {"lease": self._next_lease, "ttl_ms": ttl_ms}
        lease = int(name.rpartition("/")[2])
        if name.startswith("kv-keep/"):
            if lease not in self._leases:
                return 404, {}
            found = self._leases[lease]
            found["until"] = time.monotonic() + found["ttl"]
            return 200, {}
        self.end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "at": self._rev}
            changed = self._changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass


async def start(store, port):
    return await wire.serve(store.handle, port)
