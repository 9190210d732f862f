"""Lookup of requests that were submitted at another entry process."""

import asyncio
import typing as t
from dataclasses import dataclass

from . import wire
from .codes import Code
from .exceptions import CallError
from .peers import CallResult, Envelope, PeerTable

__all__ = ["Finder", "Lookup", "LookupReply"]

CALL_TIMEOUT_S = 1.0
# Rounds of calls; together they outlast a take-over, whose new owner can then be asked.
ROUNDS = 60
ROUND_WAIT_S = 0.2


@dataclass(frozen=True, slots=True)
class Lookup:
    """Query to a process about a request.

    Attributes
    ----------
    reply_to : str
        Process to which the answer is sent when there is one; empty if only the state
        is wanted.
    """

    request_id: str
    reply_to: str = ""


@dataclass(frozen=True, slots=True)
class LookupReply:
    """State of a request, from a process that knows it.

    Attributes
    ----------
    explanation : str
        One sentence that describes the state of the request.
    """

    request_id: str
    explanation: str


wire.register(Lookup, LookupReply)


class Finder:
    """Queries the processes that may know a request: owners of shards, and entries.

    Parameters
    ----------
    candidates : callable
        Returns the processes that may know a request id, and whether the set is
        complete. It is not while a shard that may hold the request has no known owner.
    ask_self : callable
        Handles a `Lookup` in this process and returns the replies.
    """

    def __init__(
        self,
        process: str,
        peers: PeerTable,
        candidates: t.Callable[[str], tuple[set[str], bool]],
        ask_self: t.Callable[[Lookup], t.Sequence[t.Any]],
    ):
        self._process = process
        self._peers = peers
        self._lookup_candidates = candidates
        self._ask_self = ask_self
        self._explanations: dict[str, str] = {}

    async def explain(self, request_id: str, watch: bool = False) -> str | None:
        """Return one sentence on the state of a request, or None if nobody knows it.

        Parameters
        ----------
        watch : bool
            Whether the answer is sent to this process when there is one.

        Raises
        ------
        CallError
            `Code.PEER_TIMEOUT` if the request was not found and a process that may know
            it did not answer.
        """
        self._explanations.pop(request_id, None)
        query = Lookup(request_id, self._process if watch else "")
        for _ in range(ROUNDS):
            complete = await self._ask_all(query)
            explanation = self._explanations.pop(request_id, None)
            if explanation is not None or complete:
                return explanation
            await asyncio.sleep(ROUND_WAIT_S)
        detail = "Not every process that may know the request has answered."
        raise CallError(Code.PEER_TIMEOUT, detail)

    def candidates(self, request_id: str) -> set[str]:
        """Return the processes that may know a request."""
        return self._lookup_candidates(request_id)[0] | {self._process}

    async def _ask_all(self, query: Lookup) -> bool:
        """Query all candidates once; return whether the result is conclusive.

        It is if this process knows the request, or if the set of candidates is complete
        and all of them have answered.
        """
        for reply in self._ask_self(query):
            self.receive(reply)
        if query.request_id in self._explanations:
            return True
        candidates, complete = self._lookup_candidates(query.request_id)
        batch = [Envelope(query)]
        calls = (
            self._peers.call(name, batch, CALL_TIMEOUT_S)
            for name in candidates - {self._process}
        )
        results = await asyncio.gather(*calls)
        return complete and all(item is CallResult.DELIVERED for item in results)

    def receive(self, reply: LookupReply) -> None:
        """Record the reply of a process that knows the request."""
        self._explanations[reply.request_id] = reply.explanation
