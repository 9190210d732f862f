"""In-memory store that injects the faults of the platform's store."""

import asyncio
import itertools
import random

from poplaryard import tickets
from poplaryard.exceptions import StoreConflict, StoreDown, StoreReplyLost
from poplaryard.store import Entry

_READS = {"get", "scan", "grant", "keep_alive", "watch"}


def service(name="booking", replicas=2, **fields):
    fields = {"team": "booking", "cpu": "8 cores", "memory": "8 GB", **fields}
    return {"kind": "service", "name": name, "replicas": replicas, **fields}


def vm_group(name="booking", vms=2, first=0, data_centre="dc1", **fields):
    listed = [
        {
            "name": f"{data_centre}-vm{number:05d}",
            "data_centre": data_centre,
            "rack": f"{data_centre}-r{number // 5}",
            "address": f"10.{number // 250 // 250}.{number // 250 % 250}"
            f".{number % 250}:7000",
        }
        for number in range(first, first + vms)
    ]
    fields = {"cpu": "16 cores", "memory": "32 GB", "vms": listed, **fields}
    return {"kind": "vm_group", "name": name, **fields}


def ticket(uid, *objects, author="Anna", **fields):
    objects = objects or (service(),)
    value = {"format": 1, "uid": uid, "author": author, "objects": list(objects)}
    return tickets.parse({**value, **fields})


class FakeStore:
    """Store in memory, with faults set by tests.

    ``faults`` maps (method, key prefix) to a list of "down", "lost" (applied, no
    reply) or "dropped" (not applied, no reply); each matching call uses one up.
    ``hooks`` are awaited in order with the method and the key before each call takes
    effect. ``call_faults`` holds the faults set by `fail_call`, by number of the call,
    ``deleted`` the version at which each deleted key was deleted, ``calls`` the number
    of calls by method, and ``log`` one line for each call.
    """

    def __init__(self, seed=0):
        self._rng = random.Random(seed)
        self.entries = {}
        self.deleted = {}
        self.leases = set()
        self.faults = {}
        self.call_faults = {}
        self.down = False
        self.calls = {}
        self.log = []
        self.hooks = []
        self._versions = itertools.count(1)
        self._leases = itertools.count(1)
        self._changed = asyncio.Condition()

    def fail(self, method, prefix, *faults):
        self.faults.setdefault((method, prefix), []).extend(faults)

    def fail_call(self, position, fault):
        """Inject `fault` into the call that comes after `position` further calls."""
        self.call_faults[sum(self.calls.values()) + position] = fault

    async def _begin_call(self, method, key):
        fault = self.call_faults.pop(sum(self.calls.values()), None)
        self.calls[method] = self.calls.get(method, 0) + 1
        self.log.append(f"{method} {key}")
        for hook in list(self.hooks):
            await hook(method, key)
        if self.down:
            raise StoreDown()
        for (wanted, prefix), faults in self.faults.items():
            if wanted == method and key.startswith(prefix) and faults:
                fault = faults.pop(0)
                break
        if fault == "down":
            raise StoreDown()
        if fault == "dropped" or (fault == "lost" and method in _READS):
            raise StoreReplyLost()
        # Yields, so that concurrent callers interleave differently for each seed.
        for _ in range(self._rng.randint(1, 4)):
            await asyncio.sleep(0)
        return fault == "lost"

    async def get(self, key):
        await self._begin_call("get", key)
        return self.entries.get(key)

    async def scan(self, prefix):
        await self._begin_call("scan", prefix)
        return [e for k, e in sorted(self.entries.items()) if k.startswith(prefix)]

    async def put_if(self, key, value, version, lease=""):
        lost = await self._begin_call("put_if", key)
        current = self.entries.get(key)
        if lease and lease not in self.leases:
            raise StoreConflict()
        if (0 if current is None else current.version) != version:
            if lost:
                raise StoreReplyLost()
            raise StoreConflict()
        self.entries[key] = Entry(key, value, next(self._versions), lease)
        await self._notify()
        if lost:
            raise StoreReplyLost()
        return self.entries[key]

    async def delete_if(self, key, version):
        lost = await self._begin_call("delete_if", key)
        current = self.entries.get(key)
        if current is None or current.version != version:
            raise StoreConflict()
        del self.entries[key]
        self.deleted[key] = next(self._versions)
        await self._notify()
        if lost:
            raise StoreReplyLost()

    async def grant(self, ttl_s):
        await self._begin_call("grant", "")
        lease = f"lease{next(self._leases)}"
        self.leases.add(lease)
        return lease

    async def keep_alive(self, lease):
        await self._begin_call("keep_alive", lease)
        return lease in self.leases

    async def revoke(self, lease):
        await self._begin_call("revoke", lease)
        self.leases.discard(lease)

    async def watch(self, prefix, after, wait_s):
        await self._begin_call("watch", prefix)
        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: self._since(prefix, after))
            except TimeoutError:
                return []
        return self._since(prefix, after)

    def _since(self, prefix, after):
        entries = [*self.entries.values()]
        entries += [Entry(key, None, at) for key, at in self.deleted.items()]
        found = [e for e in entries if e.key.startswith(prefix) and e.version > after]
        return sorted(found, key=lambda e: e.version)

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()
