"""Finds a request that was handed in at another entry process."""

import asyncio
import typing as t
from dataclasses import dataclass

from . import wire
from .codes import Code
from .exceptions import CallError
from .peers import CallResult, Envelope, PeerTable

__all__ = ["Finder", "Lookup", "LookupReply"]

CALL_TIMEOUT_S = 1.0
# Long enough for a take-over, after which the new owner can be asked.
ROUNDS = 60
ROUND_WAIT_S = 0.2


@dataclass(frozen=True, slots=True)
class Lookup:
    """Question to an owner about a request.

    Attributes
    ----------
    reply_to : str
        Process that wants the answer when there is one; empty if only the state is
        wanted.
    """

    request_id: str
    reply_to: str = ""


@dataclass(frozen=True, slots=True)
class LookupReply:
    """What an owner that knows a request says about it."""

    request_id: str
    explanation: str


wire.register(Lookup, LookupReply)


class Finder:
    """Asks all processes of the data centre, and the id's home, about a request.

    Parameters
    ----------
    others : callable
        Returns the processes that may know a request id, and whether these are all:
        a shard without a known owner may hold it as well.
    ask_self : callable
        Takes a `Lookup` in this process and returns the replies.
    """

    def __init__(
        self,
        process: str,
        peers: PeerTable,
        others: t.Callable[[str], tuple[set[str], bool]],
        ask_self: t.Callable[[Lookup], t.Sequence[t.Any]],
    ):
        self._process = process
        self._peers = peers
        self._others = others
        self._ask_self = ask_self
        self._found: dict[str, str] = {}

    async def explain(self, request_id: str, watch: bool = False) -> str | None:
        """Return where a request stands, or None if certainly nobody knows it.

        With `watch`, the answer is sent to this process when there is one. Raises
        `CallError` if somebody who may know it does not answer.
        """
        self._found.pop(request_id, None)
        question = Lookup(request_id, self._process if watch else "")
        for _ in range(ROUNDS):
            complete = await self._ask_all(question)
            found = self._found.pop(request_id, None)
            if found is not None or complete:
                return found
            await asyncio.sleep(ROUND_WAIT_S)
        detail = "Not every process that may know the request has answered."
        raise CallError(Code.PEER_TIMEOUT, detail)

    def may_know(self, request_id: str) -> set[str]:
        """Return the processes that may know a request."""
        return self._others(request_id)[0] | {self._process}

    async def _ask_all(self, question: Lookup) -> bool:
        """Ask everyone once; return whether nobody else can know the request."""
        for reply in self._ask_self(question):
            self.receive(reply)
        if question.request_id in self._found:
            return True
        others, complete = self._others(question.request_id)
        batch = [Envelope(question)]
        calls = (
            self._peers.call(name, batch, CALL_TIMEOUT_S)
            for name in others - {self._process}
        )
        results = await asyncio.gather(*calls)
        return complete and all(item is CallResult.DELIVERED for item in results)

    def receive(self, reply: LookupReply) -> None:
        """Take a reply."""
        self._found[reply.request_id] = reply.explanation
