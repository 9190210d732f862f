import asyncio

import testtools

from poplaryard.client import HttpClient
from poplaryard.exceptions import StoreConflict, StoreDown, StoreReplyLost
from poplaryard.standin_platform_http import PlatformHost
from poplaryard.store_http import HttpStore
from poplaryard.vmlist import ListedVm


class PlatformTest(testtools.TestCase):
    """Tests of the platform stand-in with the HTTP client of the store."""

    def run_scenario(self, scenario):
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

    async def assert_fails_with(self, kind, call):
        try:
            await call
        except kind:
            return
        self.fail(f"{kind.__name__} was not raised")

    def test_compare_and_swap(self):
        """Guards against a write with an old version that replaces a newer value."""

        async def scenario(host, store):
            first = await store.put_if("a/1", {"n": 1}, 0)
            await self.assert_fails_with(
                StoreConflict, store.put_if("a/1", {"n": 2}, 0)
            )
            second = await store.put_if("a/1", {"n": 2}, first.version)
            await store.put_if("a/2", 3, 0)
            self.assertEqual(second, await store.get("a/1"))
            self.assertEqual(["a/1", "a/2"], [e.key for e in await store.scan("a/")])
            await self.assert_fails_with(
                StoreConflict, store.delete_if("a/1", first.version)
            )
            await store.delete_if("a/1", second.version)
            self.assertIsNone(await store.get("a/1"))

        self.run_scenario(scenario)

    def test_keys_end_with_their_lease(self):
        """Guards against keys that remain in the store after their lease has ended."""

        async def scenario(host, store):
            lease = await store.grant(60.0)
            entry = await store.put_if("m/1", 1, 0, lease)
            self.assertTrue(await store.keep_alive(lease))
            watch = asyncio.create_task(store.watch("m/", entry.version, 20.0))
            await store.revoke(lease)
            found = await watch
            self.assertEqual([("m/1", None)], [(e.key, e.value) for e in found])
            self.assertFalse(await store.keep_alive(lease))
            await self.assert_fails_with(
                StoreConflict, store.put_if("m/2", 1, 0, lease)
            )

        self.run_scenario(scenario)

    def test_watch_returns_what_it_missed(self):
        """Guards against a watch that misses a change made before it starts."""

        async def scenario(host, store):
            first = await store.put_if("w", 1, 0)
            second = await store.put_if("w", 2, first.version)
            found = await store.watch("w", first.version, 5.0)
            self.assertEqual([second], found)
            self.assertEqual([], await store.watch("w", second.version, 0.01))

        self.run_scenario(scenario)

    def test_outage_and_rates(self):
        """Guards against a refused call whose outcome is reported as unknown."""

        async def scenario(host, store):
            host.faults.outage = True
            await self.assert_fails_with(StoreDown, store.put_if("k", 1, 0))
            host.faults.outage, host.faults.reads_per_s = False, 0
            await self.assert_fails_with(StoreDown, store.get("k"))
            self.assertEqual((0, 2), (sum(host.store.calls.values()), store.calls))

        self.run_scenario(scenario)

    def test_lost_reply(self):
        """Guards against a write that took effect but is reported as not written."""

        async def scenario(host, store):
            host.faults.lose_replies = 1
            await self.assert_fails_with(StoreReplyLost, store.put_if("k", 1, 0))
            self.assertEqual(1, (await store.get("k")).value)

        self.run_scenario(scenario)

    def test_vm_list_lags(self):
        """Guards against a VM list that lacks the lag of the platform's list."""

        async def scenario(host, store):
            host.faults.list_lag_s = 0.0
            await self._set_vm(
                host, store, name="vm1", data_centre="dc1", address="a:1"
            )
            await self._set_vm(
                host, store, name="vm2", data_centre="dc2", address="a:2"
            )
            self.assertEqual([ListedVm("vm1")], await store.vms("dc1"))
            host.faults.list_lag_s = 3600.0
            host.vms["vm1"].leaving = True
            host.vms["vm1"].since += 1.0
            self.assertEqual([ListedVm("vm1")], await store.vms("dc1"))
            host.faults.list_lag_s = -3600.0
            self.assertEqual([ListedVm("vm1", True)], await store.vms("dc1"))

        self.run_scenario(scenario)

    async def _set_vm(self, host, store, **vm):
        url = store._url.replace("store/v1", "standin/vm")
        await store._client.post(url, vm, 5.0)
