"""Adapter that lets the fuzzer run a `ShardScheduler` in place of `FuzzShard`."""

import random
import typing as t
from dataclasses import replace

from .configuration import Configuration
from .messages import Answer, Configure, Submit
from .scheduler import ShardScheduler
from .takeover import Takeover

__all__ = ["RealShard"]


class RealShard:
    """Owner of a shard that passes messages to a `ShardScheduler`.

    An answer of the scheduler goes to every token that waits for the request.
    """

    def __init__(self, shard: str, process: str, takeover: Takeover, now: float):
        self.shard = shard
        self._scheduler = ShardScheduler(shard, process, random.Random(takeover.epoch))
        self._scheduler.take_over(now, takeover)
        self._scheduler.handle(now, Configure(Configuration(number=1)))
        # Tokens that wait for an answer, by request id.
        self._waiting: dict[str, set[str]] = {}
        # All tokens received.
        self._seen: set[str] = set()

    @property
    def ledger(self) -> t.Any:
        """The scheduler's ledger."""
        return self._scheduler._results.ledger

    def handle(self, now: float, message: t.Any) -> list[t.Any]:
        """Process one message; return commands and answers."""
        if isinstance(message, Submit):
            if message.reply_to in self._seen:
                # The connections in production deliver a message at most once, and
                # each retry has a new token. So a copy of a submission is dropped.
                return []
            self._seen.add(message.reply_to)
            tokens = self._waiting.setdefault(message.work.request_id, set())
            tokens.add(message.reply_to)
        out: list[t.Any] = []
        for item in self._scheduler.handle(now, message):
            out += self._answer_callers(item) if isinstance(item, Answer) else [item]
        return out

    def _answer_callers(self, answer: Answer) -> list[Answer]:
        tokens = self._waiting.pop(answer.request_id, set())
        return [replace(answer, reply_to=token) for token in sorted(tokens)]
