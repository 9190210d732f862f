"""The real `ShardScheduler` in the place of `FuzzShard`, as a shard's task wires it."""

import random
import typing as t
from dataclasses import replace

from .configuration import Configuration
from .messages import Answer, Configure, Submit
from .scheduler import ShardScheduler
from .takeover import Takeover

__all__ = ["RealShard"]


class RealShard:
    """Hands messages to a `ShardScheduler`, and each answer to all who wait for it."""

    def __init__(self, shard: str, process: str, takeover: Takeover, now: float):
        self.shard = shard
        self._scheduler = ShardScheduler(shard, process, random.Random(takeover.epoch))
        self._scheduler.take_over(now, takeover)
        self._scheduler.handle(now, Configure(Configuration(number=1)))
        self._waiting: dict[str, set[str]] = {}
        self._seen: set[str] = set()

    @property
    def ledger(self) -> t.Any:
        """Ledger of the scheduler."""
        return self._scheduler._results.ledger

    def handle(self, now: float, message: t.Any) -> list[t.Any]:
        """Take one message and return commands and answers."""
        if isinstance(message, Submit):
            if message.reply_to in self._seen:
                # A connection delivers a message once; a retry has a new token.
                return []
            self._seen.add(message.reply_to)
            tokens = self._waiting.setdefault(message.work.request_id, set())
            tokens.add(message.reply_to)
        out: list[t.Any] = []
        for item in self._scheduler.handle(now, message):
            out += self._to_all(item) if isinstance(item, Answer) else [item]
        return out

    def _to_all(self, answer: Answer) -> list[Answer]:
        tokens = self._waiting.pop(answer.request_id, set())
        return [replace(answer, reply_to=token) for token in sorted(tokens)]
