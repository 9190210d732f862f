"""Detection of failed owners before their leases expire.

A few processes probe the owner of each partition. If it does not answer them, and other
processes confirm that they don't reach it either, its lease is ended in the store. Its
claims then disappear at once and not when the lease would have expired, and other
processes take its partitions over.

An owner that is suspected wrongly loses nothing but its claims: a later owner adopts
the runs that it finds, and an owner whose lease is gone stops as after any lost lease.
"""

import asyncio
import random
import typing as t
import zlib
from dataclasses import dataclass

from ..client import HttpClient
from ..exceptions import PoplaryardError, StoreDown, StoreReplyLost
from ..logs import logger
from . import records
from .membership import ProcessLease
from .relay import RelayedStorage

__all__ = ["OwnerMonitor", "monitors_of"]

# Time between two probes of an owner, and timeout of a probe, in seconds. An owner
# answers within 20 ms; its scheduling passes take up to 0.1 s under a backlog.
PROBE_PERIOD_S = 0.25
PROBE_TIMEOUT_S = 0.25
# Consecutive probes without an answer after which other processes are asked. A probe on
# a connection that has gone silent fails, and the next ones use new connections.
MISSED_PROBES = 3
# Number of processes that probe an owner, so that some are left if others fail with it.
MONITORS = 3
# Number of processes that are asked whether they reach an owner, how many of them must
# deny it, and the timeout of the question in seconds.
WITNESSES = 4
MIN_DENIALS = 2
WITNESS_TIMEOUT_S = PROBE_TIMEOUT_S + 0.15


@dataclass(slots=True)
class _Suspicion:
    """Consecutive probes that an owner has missed since its last claim.

    Attributes
    ----------
    claimed_at : int
        Revision of the newest claim of the owner when the first one was sent.
    missed : int
        Number of probes.
    """

    claimed_at: int
    missed: int = 0


Claims: t.TypeAlias = t.Mapping[str, tuple[records.Claim, int]]
Members: t.TypeAlias = t.Mapping[str, records.Member]


def monitors_of(owner: str, processes: t.Iterable[str]) -> list[str]:
    """Return the processes that probe an owner.

    Every process computes the same ones (rendezvous hashing), and different owners are
    probed by different processes.
    """
    others = [name for name in processes if name != owner]
    others.sort(key=lambda name: zlib.crc32(f"{owner} {name}".encode()))
    return others[:MONITORS]


class OwnerMonitor:
    """Probes owners of partitions, and ends the leases of those that have failed.

    Parameters
    ----------
    process, data_centre : str
        Identity of this process.
    storage : RelayedStorage
    peers : HttpClient
    lease : ProcessLease
        Lease of this process; without a valid one it ends no other lease.
    claims : mapping of str to tuple of (records.Claim, int)
        Present claim and its revision by partition.
    members : mapping of str to records.Member
        The other processes, by name.
    """

    def __init__(
        self,
        process: str,
        data_centre: str,
        storage: RelayedStorage,
        peers: HttpClient,
        lease: ProcessLease,
        claims: Claims,
        members: Members,
    ):
        self._process = process
        self._data_centre = data_centre
        self._storage = storage
        self._peers = peers
        self._lease = lease
        self._claims = claims
        self._members = members
        self._suspicions: dict[str, _Suspicion] = {}
        self._monitored: list[str] = []
        self._stale = True

    def invalidate(self) -> None:
        """Note that claims or members have changed.

        The owners to probe are computed again only then, since the cost grows with the
        number of processes.
        """
        self._stale = True

    async def run(self) -> None:
        """Probe the owners that this process monitors, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            if self._stale:
                self._stale = False
                self._update_monitored()
            if self._monitored:
                await asyncio.gather(*map(self._check, self._monitored))
            await asyncio.sleep(max(0.0, began + PROBE_PERIOD_S - loop.time()))

    async def reaches(self, process: str) -> bool | None:
        """Return whether another process answers a probe; None if it is not known."""
        member = self._members.get(process)
        return None if member is None else await self._probe(member.address)

    def _update_monitored(self) -> None:
        owners = {claim.process for claim, _ in self._claims.values()}
        names = [self._process, *self._members]
        self._monitored = [
            owner
            for owner in owners - {self._process}
            if self._process in monitors_of(owner, names)
        ]
        self._suspicions = {
            name: suspicion
            for name, suspicion in self._suspicions.items()
            if name in self._monitored
        }

    async def _check(self, owner: str) -> None:
        address, claimed_at = self._address(owner), self._claimed_at(owner)
        if address is None or await self._probe(address):
            self._suspicions.pop(owner, None)
            return
        suspicion = self._suspicions.get(owner)
        if suspicion is None or suspicion.claimed_at != claimed_at:
            # What a process missed before it restarted does not count against it.
            suspicion = self._suspicions[owner] = _Suspicion(claimed_at)
        suspicion.missed += 1
        if suspicion.missed < MISSED_PROBES or not self._has_store():
            return
        denials, confirmations = await self._ask_witnesses(owner)
        if denials < MIN_DENIALS or confirmations or not self._has_store():
            return
        self._suspicions.pop(owner, None)
        if self._claimed_at(owner) == claimed_at:
            await self._end_lease(owner, denials)

    def _claimed_at(self, owner: str) -> int:
        """Return the revision of the newest claim of an owner; 0 for none."""
        return max(
            (
                revision
                for claim, revision in self._claims.values()
                if claim.process == owner
            ),
            default=0,
        )

    def _address(self, owner: str) -> str | None:
        for claim, _ in self._claims.values():
            if claim.process == owner:
                return claim.address
        return None

    def _has_store(self) -> bool:
        """Return whether the store is known to answer this process."""
        return self._lease.has_lease() and self._storage.direct_ok

    async def _probe(self, address: str) -> bool:
        try:
            url = f"http://{address}/peer/v1/ping"
            await self._peers.request_raw("GET", url, None, PROBE_TIMEOUT_S)
        except PoplaryardError:
            return False
        return True

    async def _ask_witnesses(self, owner: str) -> tuple[int, int]:
        """Return how many processes don't reach an owner, and how many do."""
        others = [name for name in self._members if name != owner]
        outside = [
            name
            for name in others
            if self._members[name].data_centre != self._data_centre
        ]
        candidates = outside if len(outside) >= MIN_DENIALS else others
        witnesses = random.sample(candidates, min(WITNESSES, len(candidates)))
        # Members may leave while they are asked.
        addresses = {name: self._members[name].address for name in witnesses}
        answers = await asyncio.gather(
            *(self._ask_witness(name, addresses[name], owner) for name in witnesses)
        )
        return answers.count(False), answers.count(True)

    async def _ask_witness(self, witness: str, address: str, owner: str) -> bool | None:
        url = f"http://{address}/peer/v1/reach"
        try:
            reply = await self._peers.post(url, {"process": owner}, WITNESS_TIMEOUT_S)
        except PoplaryardError as exc:
            extra = {"peer": witness, "reason": exc.detail}
            logger.info("witness did not answer", extra=extra)
            return None
        reached = reply.body.get("reached") if isinstance(reply.body, dict) else None
        return reached if isinstance(reached, bool) else None

    async def _end_lease(self, owner: str, denials: int) -> None:
        """End the lease to which the claims of an owner are bound."""
        try:
            lease = await self._lease_of(owner)
            if lease:
                extra = {"peer": owner, "lease": lease, "denials": denials}
                logger.warning("owner has failed; ending its lease", extra=extra)
                await self._storage.revoke(lease)
        except (StoreDown, StoreReplyLost) as exc:
            extra = {"peer": owner, "reason": exc.detail}
            logger.warning("lease of a failed owner not ended", extra=extra)

    async def _lease_of(self, owner: str) -> int:
        """Return the lease of an owner's claim in the store; 0 for none."""
        for partition, (claim, revision) in list(self._claims.items()):
            if claim.process != owner:
                continue
            item = await self._storage.get(records.claim_key(partition))
            # A restarted owner has replaced its claim.
            if item is not None and item.revision == revision:
                return item.lease
        return 0
