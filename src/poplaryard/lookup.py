"""Finds a request that was handed in at another entry process."""

import asyncio
import typing as t
from dataclasses import dataclass

from . import wire
from .peers import Envelope, PeerTable

__all__ = ["Finder", "Lookup", "LookupReply"]

CALL_TIMEOUT_S = 1.0


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
    """Asks all owners of the data centre about a request.

    Parameters
    ----------
    owners : callable
        Returns the owners that may know a request id.
    ask_self : callable
        Takes a `Lookup` in this process and returns the replies.
    """

    def __init__(
        self,
        process: str,
        peers: PeerTable,
        owners: t.Callable[[str], set[str]],
        ask_self: t.Callable[[Lookup], t.Sequence[t.Any]],
    ):
        self._process = process
        self._peers = peers
        self._owners = owners
        self._ask_self = ask_self
        self._found: dict[str, str] = {}

    async def explain(self, request_id: str, watch: bool = False) -> str | None:
        """Return an owner's explanation, or None if no owner knows the request.

        With `watch`, the owner sends the answer to this process when there is one.
        """
        self._found.pop(request_id, None)
        question = Lookup(request_id, self._process if watch else "")
        for reply in self._ask_self(question):
            self.receive(reply)
        others = self._owners(request_id) - {self._process}
        if request_id not in self._found:
            batch = [Envelope(question)]
            calls = (self._peers.call(name, batch, CALL_TIMEOUT_S) for name in others)
            await asyncio.gather(*calls)
        return self._found.pop(request_id, None)

    def receive(self, reply: LookupReply) -> None:
        """Take a reply."""
        self._found[reply.request_id] = reply.explanation
