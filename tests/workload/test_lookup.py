import asyncio

import pytest

from poplaryard.client import Reply
from poplaryard.codes import Code
from poplaryard.exceptions import PoplaryardError
from poplaryard.workload import records
from poplaryard.workload.directory import Directory
from poplaryard.workload.lookup import JobLookup, Unavailable
from poplaryard.workload.model import JobState, Queue
from poplaryard.workload.storage import Transaction
from tests.workload.fakes import MemoryStorage

JOB = "a" * 16
QUEUE = Queue("checks", "desk.example", "/checks/", "desk")


class AnsweringPeers:
    """Client of peers that own partitions: answers by address, None for a timeout."""

    def __init__(self, **answers):
        self.answers = answers
        self.asked = []

    async def post(self, url, body, timeout_s):
        address = url.split("/")[2]
        self.asked.append(address)
        answer = self.answers[address]
        if answer is None:
            raise PoplaryardError(Code.PEER_TIMEOUT)
        return Reply(200, answer)


def _no_owner(partition):
    return None


class LookupFixture:
    """Lookup of a process "p0" that owns nothing, and whose watch reports nothing."""

    def __init__(self, **answers):
        self.storage = MemoryStorage()
        self.peers = AnsweringPeers(**answers)
        self.directory = Directory("p0", self.storage, self.peers)
        self.lookup = JobLookup(self.directory, self.storage, _no_owner, _no_owner)

    async def claim(self, process, watched=False):
        """Store the claim of a process, whose address is its name."""
        claim = records.Claim(process, process)
        entry = (records.claim_key("desk"), records.encode(claim), 0)
        revision = await self.storage.commit(Transaction(puts=[entry]))
        if watched:
            self.directory.claims["desk"] = claim, revision


def test_owner_is_asked_for_its_count_before_the_watch_has_reported_its_claim():
    """Guards against refused counts right after a claim, which the watch reports late.

    Pattern: callers ask for the number of waiting jobs as soon as a cell has started.
    """

    async def run():
        fixture = LookupFixture(p1={"owner": True, "pending": 3})
        await fixture.claim("p1")
        assert await fixture.lookup.pending(QUEUE) == 3

    asyncio.run(run())


def test_running_job_is_not_shown_as_queued_before_the_watch_has_reported_its_owner():
    """Guards against the stored state, which does not tell of starts."""

    async def run():
        fixture = LookupFixture(p1={"owner": True, "state": "running"})
        await fixture.claim("p1")
        entries = [
            (records.home_key(JOB), b"desk", 0),
            (records.job_key("desk", JOB), b"{}", 0),
        ]
        await fixture.storage.commit(Transaction(puts=entries))
        assert await fixture.lookup.state(QUEUE, JOB) is JobState.RUNNING

    asyncio.run(run())


def test_later_owner_is_asked_if_the_known_one_has_given_its_partition_up():
    """Guards against refused counts right after a hand-over."""

    async def run():
        fixture = LookupFixture(p1={"owner": False}, p2={"owner": True, "pending": 2})
        await fixture.claim("p1", watched=True)
        await fixture.claim("p2")
        assert await fixture.lookup.pending(QUEUE) == 2
        assert fixture.peers.asked == ["p1", "p2"]

    asyncio.run(run())


@pytest.mark.parametrize("answer", [{"owner": False}, None])
def test_owner_that_does_not_answer_is_asked_once_if_its_claim_is_the_last(answer):
    """Guards against counts without an owner, and against repeated timeouts."""

    async def run():
        fixture = LookupFixture(p1=answer)
        await fixture.claim("p1", watched=True)
        with pytest.raises(Unavailable):
            await fixture.lookup.pending(QUEUE)
        assert fixture.peers.asked == ["p1"]

    asyncio.run(run())


@pytest.mark.parametrize("fault", ["down", "dropped"])
def test_count_is_refused_if_neither_watch_nor_store_tells_the_owner(fault):
    async def run():
        fixture = LookupFixture()
        fixture.storage.faults["get"] = [fault]
        with pytest.raises(Unavailable):
            await fixture.lookup.pending(QUEUE)

    asyncio.run(run())


def test_count_is_refused_soon_if_the_store_is_silent():
    """Guards against refusals that wait until the caller's deadline."""

    async def run():
        fixture = LookupFixture()

        async def silent(key):
            await asyncio.sleep(60.0)

        fixture.storage.get = silent
        async with asyncio.timeout(1.0):
            with pytest.raises(Unavailable):
                await fixture.lookup.pending(QUEUE)

    asyncio.run(run())


def test_callers_who_ask_while_there_is_no_owner_share_reads_of_the_claim():
    """Guards against a load on the store that grows with the callers in a take-over."""

    async def run():
        fixture = LookupFixture()
        for _ in range(2):
            calls = [fixture.lookup.pending(QUEUE) for _ in range(50)]
            found = await asyncio.gather(*calls, return_exceptions=True)
            assert all(isinstance(exc, Unavailable) for exc in found)
        assert fixture.storage.calls.count("get") == 2

    asyncio.run(run())
