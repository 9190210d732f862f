import asyncio

import testtools

from poplaryard.client import HttpClient
from poplaryard.exceptions import StoreConflict, StoreDown, StoreReplyLost
from poplaryard.standin_platform_http import PlatformHost
from poplaryard.store_http import HttpStore
from poplaryard.vmlist import ListedVm


class PlatformTest(testtools.TestCase):
    """The stand-in and the HTTP adapter of the store, over a real socket."""

    def run_with(self, scenario):
        asyncio.run(asyncio.wait_for(self._run(scenario), 30))

    async def _run(self, scenario):
        host = PlatformHost()
        client = HttpClient()
        address = await host.start()
        try:
            await scenario(host, HttpStore(client, address))
        finally:
            await client.close()
            await host.stop()

    async def failure(self, kind, call):
        try:
            await call
        except kind:
            return
        self.fail(f"{kind.__name__} was not raised")

    def test_compare_and_swap(self):
        """Guards against a second writer that replaces the first one's value."""

        async def scenario(host, store):
            first = await store.put_if("a/1", {"n": 1}, 0)
            await self.failure(StoreConflict, store.put_if("a/1", {"n": 2}, 0))
            second = await store.put_if("a/1", {"n": 2}, first.version)
            await store.put_if("a/2", 3, 0)
            self.assertEqual(second, await store.get("a/1"))
            self.assertEqual(["a/1", "a/2"], [e.key for e in await store.scan("a/")])
            await self.failure(StoreConflict, store.delete_if("a/1", first.version))
            await store.delete_if("a/1", second.version)
            self.assertIsNone(await store.get("a/1"))

        self.run_with(scenario)

    def test_keys_end_with_their_lease(self):
        """Guards against members that stay listed after their process has ended."""

        async def scenario(host, store):
            lease = await store.grant(60.0)
            entry = await store.put_if("m/1", 1, 0, lease)
            self.assertTrue(await store.keep_alive(lease))
            watch = asyncio.create_task(store.watch("m/", entry.version, 20.0))
            await store.revoke(lease)
            found = await watch
            self.assertEqual([("m/1", None)], [(e.key, e.value) for e in found])
            self.assertFalse(await store.keep_alive(lease))
            await self.failure(StoreConflict, store.put_if("m/2", 1, 0, lease))

        self.run_with(scenario)

    def test_watch_returns_what_it_missed(self):
        """Guards against a change between two watches that is never seen."""

        async def scenario(host, store):
            first = await store.put_if("w", 1, 0)
            second = await store.put_if("w", 2, first.version)
            found = await store.watch("w", first.version, 5.0)
            self.assertEqual([second], found)
            self.assertEqual([], await store.watch("w", second.version, 0.01))

        self.run_with(scenario)

    def test_outage_and_rates(self):
        """Guards against a refused call that is taken for one with unknown effect."""

        async def scenario(host, store):
            host.faults.outage = True
            await self.failure(StoreDown, store.put_if("k", 1, 0))
            host.faults.outage, host.faults.reads_per_s = False, 0
            await self.failure(StoreDown, store.get("k"))
            self.assertEqual((0, 2), (sum(host.store.calls.values()), store.calls))

        self.run_with(scenario)

    def test_lost_reply(self):
        """Guards against "not written" for a write that took effect."""

        async def scenario(host, store):
            host.faults.lose_replies = 1
            await self.failure(StoreReplyLost, store.put_if("k", 1, 0))
            self.assertEqual(1, (await store.get("k")).value)

        self.run_with(scenario)

    def test_vm_list_lags(self):
        """Guards against a list that shows a change at once, unlike the platform's."""

        async def scenario(host, store):
            host.faults.list_lag_s = 0.0
            await self._set(host, store, name="vm1", data_centre="dc1", address="a:1")
            await self._set(host, store, name="vm2", data_centre="dc2", address="a:2")
            self.assertEqual([ListedVm("vm1")], await store.vms("dc1"))
            host.faults.list_lag_s = 3600.0
            host.vms["vm1"].leaving = True
            host.vms["vm1"].since += 1.0
            self.assertEqual([ListedVm("vm1")], await store.vms("dc1"))
            host.faults.list_lag_s = -3600.0
            self.assertEqual([ListedVm("vm1", True)], await store.vms("dc1"))

        self.run_with(scenario)

    async def _set(self, host, store, **vm):
        url = store._url.replace("store/v1", "standin/vm")
        await store._client.post(url, vm, 5.0)
