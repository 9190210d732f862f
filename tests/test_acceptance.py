import asyncio

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from poplaryard import tickets
from poplaryard.acceptance import Acceptance, load
from poplaryard.clock import VirtualClock
from poplaryard.codes import Code
from poplaryard.compaction import Compactor
from poplaryard.config_loader import Loader, read_head
from poplaryard.configuration import Configuration

from .fake_store import FakeStore, service, ticket, vm_group


def acceptances(store, count=2):
    return [Acceptance(store, VirtualClock(), seed) for seed in range(count)]


class AcceptanceTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        self.one, self.two = acceptances(self.store)

    def file(self, *args, acceptance=None, **fields):
        return asyncio.run((acceptance or self.one).file(ticket(*args, **fields)))

    def config(self):
        return asyncio.run(load(self.store))

    def test_two_filers_of_one_object_make_one_winner(self):
        """Guards against one operator's change silently overwriting another's."""

        async def both():
            first = self.one.file(ticket("uid-a", service(replicas=3), author="Anna"))
            second = self.two.file(ticket("uid-b", service(replicas=4), author="Bo"))
            return await asyncio.gather(first, second)

        results = asyncio.run(both())
        codes = sorted(result.code for result in results)
        self.assertEqual([Code.TICKET_ACCEPTED, Code.TICKET_CONFLICT], codes)
        winner, loser = sorted(results, key=lambda result: result.code)
        self.assertIn(f"Ticket 1 of {winner.accepted.author}", loser.detail)
        self.assertIn("replicas is now", loser.detail)
        self.assertIn("based_on 1", loser.detail)
        self.assertEqual(1, self.config().number)

    def test_queued_tickets_of_one_process_conflict(self):
        """Guards against a ticket that waits for another and then overwrites it.

        The second ticket is filed without `based_on` before the first is accepted.
        """

        async def both():
            first = self.one.file(ticket("uid-a", service(replicas=3)))
            second = self.one.file(ticket("uid-b", service(replicas=4)))
            return await asyncio.gather(first, second)

        codes = [result.code for result in asyncio.run(both())]
        self.assertEqual([Code.TICKET_ACCEPTED, Code.TICKET_CONFLICT], codes)

    def test_filers_of_different_objects_both_win(self):
        """Guards against conflicts between concurrent tickets for different objects."""

        async def both():
            names = [f"svc-{number}" for number in range(8)]
            pair = (self.one, self.two)
            tasks = [
                pair[n % 2].file(ticket(f"uid-{name}", service(name)))
                for n, name in enumerate(names)
            ]
            return await asyncio.gather(*tasks)

        results = asyncio.run(both())
        self.assertEqual(list(range(1, 9)), sorted(r.number for r in results))
        self.assertEqual(8, len(self.config().services))

    def test_same_uid_at_two_processes_is_accepted_once(self):
        """Guards against a ticket applied twice by a retry at another process."""

        async def both():
            same = ticket("uid-a")
            return await asyncio.gather(self.one.file(same), self.two.file(same))

        results = asyncio.run(both())
        self.assertEqual([1, 1], [result.number for result in results])

    def test_uid_is_answered_after_it_left_the_head(self):
        """Guards against a late retry of an old ticket that undoes newer ones."""
        self.file("uid-first", service(replicas=1))
        for number in range(300):
            self.file(f"uid-{number}", service(replicas=number))
        again = self.file("uid-first", service(replicas=1), acceptance=self.two)
        self.assertEqual((Code.TICKET_ACCEPTED, 1), (again.code, again.number))
        self.assertEqual(299, self.config().services["booking"].replicas)
        other = self.file("uid-first", service(replicas=7), acceptance=self.two)
        self.assertEqual(Code.TICKET_REUSED, other.code)

    def test_uid_of_a_slow_filing_is_found_in_the_history(self):
        """Guards against a ticket accepted twice after many failed swaps.

        The ticket gets a number far above the one that its uid record starts with.
        """
        for overtakers in (30, 140):
            self.store = FakeStore()
            self.one, self.two = acceptances(self.store)
            self.file("uid-base", service("slow", 9))
            for number in range(119):
                self.file(f"early-{number}", service("y", number))

            async def overtake(method, key, count=overtakers):
                if (method, key) == ("put_if", "config/head"):
                    self.store.hooks.clear()
                    for number in range(count):
                        await self.two.file(ticket(f"uid-{number}", service("x")))

            self.store.hooks.append(overtake)
            first = self.file("uid-slow", service("slow"))
            for number in range(400):
                self.file(f"more-{number}", service("y", number))
            again = self.file("uid-slow", service("slow"), acceptance=self.two)
            self.assertEqual(overtakers + 121, first.number)
            self.assertEqual(first.number, again.number)

    def test_outage_at_any_call_leaves_nothing_and_says_so(self):
        """Guards against a ticket that is partly in force after an outage."""
        for position in range(12):
            for fault in ("down", "lost", "dropped"):
                self._check_fault(position, fault)

    def _check_fault(self, position, fault):
        store = FakeStore()
        one, two = acceptances(store)
        asyncio.run(one.file(ticket("uid-0", service("other"))))
        store.fail_call(position, fault)
        wanted = ticket("uid-a", service(replicas=5))
        result = asyncio.run(one.file(wanted))
        store.call_faults = {}
        number = asyncio.run(load(store)).number
        if result.code is Code.TICKET_NOT_ACCEPTED:
            self.assertEqual(1, number, (position, fault))
        else:
            self.assertEqual((2, 2), (result.number, number), (position, fault))
        again = asyncio.run(two.file(wanted))
        self.assertEqual((Code.TICKET_ACCEPTED, 2), (again.code, again.number))

    def test_outage_after_the_swap_was_sent_is_unknown(self):
        """Guards against "not accepted" for a ticket that is in force."""
        for fault, number in (("lost", 1), ("dropped", 0)):
            store = FakeStore()
            one, two = acceptances(store)
            store.fail("put_if", "config/head", fault)
            store.hooks.append(_down_after_swap(store))
            result = asyncio.run(one.file(ticket("uid-a")))
            self.assertEqual(Code.TICKET_UNKNOWN, result.code)
            store.down, store.hooks = False, []
            self.assertEqual(number, asyncio.run(load(store)).number)
            self.assertEqual(1, asyncio.run(two.file(ticket("uid-a"))).number)

    def test_outage_after_a_lost_race_is_not_accepted(self):
        """Guards against "unknown" for a ticket that cannot have been accepted."""
        self.store.fail("put_if", "config/head", "dropped")

        async def overtake(method, key):
            if method == "get" and "put_if config/head" in self.store.log:
                self.store.hooks.clear()
                self.assertTrue((await self.two.file(ticket("uid-b", service("x")))).ok)
                self.store.fail("put_if", "config/head", "down")

        self.store.hooks.append(overtake)
        result = self.file("uid-a")
        self.assertEqual(Code.TICKET_NOT_ACCEPTED, result.code)

    def test_lost_race_costs_no_second_write_of_the_object(self):
        """Guards against writing objects again, which uses up the write budget."""

        async def burst():
            names = [f"svc-{number}" for number in range(6)]
            group = acceptances(self.store, 6)
            tasks = [
                acceptance.file(ticket(f"uid-{name}", service(name)))
                for acceptance, name in zip(group, names, strict=True)
            ]
            return await asyncio.gather(*tasks)

        self.assertTrue(all(result.ok for result in asyncio.run(burst())))
        stored = [key for key in self.store.entries if key.startswith("config/object")]
        self.assertEqual(6, len(stored))
        self.assertEqual(6, len(self.config().services))

    def test_values_deleted_during_a_long_race_are_written_again(self):
        """Guards against a head that refers to a value that compaction deleted."""

        async def overtake(method, key):
            if (method, key) == ("put_if", "config/head"):
                self.store.hooks.clear()
                for number in range(8):
                    await self.two.file(ticket(f"uid-{number}", service("x", number)))
                self.assertTrue(await Compactor(self.store, self.two.loader, 4).run())

        self.store.hooks.append(overtake)
        self.assertTrue(self.file("uid-a", service("slow")).ok)
        self.assertEqual(2, len(self.config().services))
        asyncio.run(Compactor(self.store, self.two.loader, 1).run())
        self.assertEqual(2, len(self.config().services))

    def test_value_written_early_survives_a_compaction(self):
        """Guards against the deletion of a value that the snapshot lacks.

        The value has a planned number before the snapshot, but its ticket was accepted
        after it.
        """

        async def overtake(method, key):
            if (method, key) == ("put_if", "config/head"):
                self.store.hooks.clear()
                for number in range(8):
                    await self.two.file(ticket(f"uid-{number}", service("x", number)))

        self.store.hooks.append(overtake)
        self.assertTrue(self.file("uid-a", service("slow")).ok)
        head = self.store.entries["config/head"]
        value = {**head.value, "snapshot": 8, "snapshot_parts": 1}
        state = asyncio.run(Loader(self.store).refresh())
        objects = {k: [r, v] for k, (r, v) in state.delta(0).objects.items()}
        objects.pop("service/slow")
        part = {"format": 1, "objects": objects}

        async def snapshot():
            await self.store.put_if("config/snapshot/0000000008/0000", part, 0)
            await self.store.put_if("config/head", value, head.version)
            await Compactor(self.store, Loader(self.store))._delete_stale()

        asyncio.run(snapshot())
        self.assertEqual(2, len(self.config().services))

    def test_base_before_the_horizon_is_a_conflict(self):
        """Guards against the return of an object whose removal is no longer listed."""
        self.file("uid-first", service("gone"))
        self.file("uid-second", {"kind": "service", "name": "gone", "remove": True})
        for number in range(300):
            self.file(f"uid-{number}", service(replicas=number))
        result = self.file("uid-late", service("gone"), based_on=1)
        self.assertEqual(Code.TICKET_CONFLICT, result.code)
        self.assertIn("too old", result.detail)

    def test_loser_cannot_replace_the_winners_value(self):
        """Guards against a refused value stored under an accepted ticket's number."""

        async def overtake(method, key):
            if (method, key) == ("put_if", "config/head"):
                self.store.hooks.clear()
                other = ticket("uid-b", service(replicas=4))
                self.assertTrue((await self.two.file(other)).ok)

        self.store.hooks.append(overtake)
        result = self.file("uid-a", service(replicas=3))
        self.assertEqual(Code.TICKET_CONFLICT, result.code)
        self.assertEqual(4, self.config().services["booking"].replicas)

    def test_stale_and_future_bases_are_refused(self):
        """Guards against an edit of an old state that undoes a newer change."""
        self.file("uid-1", service(replicas=1))
        self.file("uid-2", service("other"))
        self.file("uid-3", {"kind": "service", "name": "booking", "remove": True})
        stale = self.file("uid-4", service(replicas=9), based_on=2)
        self.assertEqual(Code.TICKET_CONFLICT, stale.code)
        self.assertIn("removed service/booking", stale.detail)
        self.assertTrue(self.file("uid-5", service("other", 3), based_on=2).ok)
        future = self.file("uid-6", based_on=99)
        self.assertEqual(Code.TICKET_INVALID, future.code)

    def test_lapsed_retention_lease_is_replaced(self):
        """Guards against refused tickets or a lost history after a lease has lapsed."""
        for number in range(256):
            self.file(f"uid-{number}", service(replicas=number))
        self.store.leases.clear()

        async def lapse(method, key):
            if key.startswith("config/history"):
                self.store.hooks.clear()
                self.store.leases.clear()

        self.store.hooks.append(lapse)
        self.assertTrue(self.file("uid-next").ok)
        self.assertEqual(1, self.file("uid-0", service(replicas=0)).number)
        self.store.leases.clear()
        self.assertTrue(self.file("uid-last").ok)

    def test_vm_in_two_groups_is_refused(self):
        """Guards against a VM that is given twice the work that it can hold."""
        self.assertTrue(self.file("uid-1", vm_group("first", 3)).ok)
        result = self.file("uid-2", vm_group("second", 3, first=2))
        self.assertEqual(Code.TICKET_INVALID, result.code)
        self.assertIn('"first" and in "second"', result.detail)

    def test_number_of_shards_is_fixed_once_there_are_vms(self):
        """Guards against a key whose new shard does not know what runs (P2, P5)."""
        self.file("uid-1", {"kind": "policy", "shards_per_data_centre": 2})
        self.file("uid-2", vm_group())
        result = self.file("uid-3", {"kind": "policy", "shards_per_data_centre": 3})
        self.assertEqual(Code.TICKET_INVALID, result.code)
        self.assertEqual(2, self.config().policy.shards_per_data_centre)
        same = {"kind": "policy", "shards_per_data_centre": 2, "queue_limit": 500}
        self.assertEqual(Code.TICKET_ACCEPTED, self.file("uid-4", same).code)

    def test_too_large_ticket_is_refused(self):
        """Guards against a ticket that the store refuses after a part is written."""
        result = self.file("uid-1", vm_group(vms=12_000))
        self.assertEqual(Code.TICKET_TOO_LARGE, result.code)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 10**6),
        names=st.lists(st.sampled_from("abc"), min_size=2, max_size=12),
        faults=st.lists(
            st.tuples(st.integers(0, 60), st.sampled_from(["down", "lost", "dropped"])),
            max_size=6,
        ),
    )
    def test_configuration_is_that_of_the_accepted_tickets(self, seed, names, faults):
        """Guards against tickets lost, applied twice or merged in races and faults."""
        store = FakeStore(seed)
        for position, fault in faults:
            store.fail_call(position, fault)
        asyncio.run(self._race(store, names))

    async def _race(self, store, names):
        group = acceptances(store, 3)
        wanted = [
            ticket(f"uid-{n}", service(name, n, team=f"t{n}"))
            for n, name in enumerate(names)
        ]
        compactor = Compactor(store, group[0].loader)
        tasks = [group[n % 3].file(item) for n, item in enumerate(wanted)]
        await asyncio.gather(*tasks)
        store.faults, store.call_faults = {}, {}
        results = [await group[0].file(item) for item in wanted]
        await compactor.run()
        accepted = sorted(
            (result.number, n) for n, result in enumerate(results) if result.ok
        )
        head, _entry = await read_head(store)
        self.assertEqual(list(range(1, head.number + 1)), [n for n, _ in accepted])
        expected = Configuration()
        for number, index in accepted:
            expected = tickets.apply(expected, number, wanted[index])
        self.assertEqual(expected, await load(store))


def _down_after_swap(store):
    async def hook(method, key):
        if method == "get" and "put_if config/head" in store.log:
            store.down = True

    return hook
