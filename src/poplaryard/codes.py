"""Numbered result codes; docs/result-codes.md is checked against this table."""

import enum
import typing as t

__all__ = ["Code", "Outcome"]


class Outcome(enum.StrEnum):
    """What is known about whether a request ran."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Code(enum.IntEnum):
    """Result code with its HTTP status, outcome and meaning.

    Numbers are grouped: 1xxx success and input errors, 2xxx not run, 3xxx unknown or
    failed runs, 4xxx tickets (configuration changes), 5xxx settings, 6xxx peers and
    shard ownership, 7xxx workers.

    Attributes
    ----------
    status : int
        HTTP status.
    outcome : Outcome
        What the code says about whether the request ran.
    meaning : str
        Message for callers that get no more specific one.
    """

    status: int
    outcome: Outcome
    meaning: str

    def __new__(
        cls, number: int, status: int, outcome: Outcome, meaning: str
    ) -> t.Self:
        """Attach status, outcome and meaning to the number."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.status = status
        member.outcome = outcome
        member.meaning = meaning
        return member

    OK = 1000, 200, Outcome.RAN, "The request ran and its whole answer is given."
    ACCEPTED = 1001, 202, Outcome.NOT_RUN, "The request is accepted and waits."
    RUNNING = 1002, 202, Outcome.UNKNOWN, "The request is running."
    MALFORMED = 1101, 400, Outcome.NOT_RUN, "The body is not valid JSON."
    INVALID = 1102, 422, Outcome.NOT_RUN, "A field is missing, unknown or out of range."
    TOO_LARGE = 1103, 413, Outcome.NOT_RUN, "The body is larger than the limit."
    TOO_DEEP = 1104, 400, Outcome.NOT_RUN, "The body is nested too deeply."
    NON_FINITE = 1105, 400, Outcome.NOT_RUN, "The body holds a non-finite number."
    UNAUTHENTICATED = 1106, 401, Outcome.NOT_RUN, "The key is missing or wrong."
    NOT_FOUND = 1107, 404, Outcome.UNKNOWN, "No request with this id is known here."
    METHOD_NOT_ALLOWED = (
        1108, 405, Outcome.NOT_RUN, "The route does not take this method.",
    )  # fmt: skip
    NO_ROUTE = 1109, 404, Outcome.NOT_RUN, "There is no such route."
    DUPLICATE_MISMATCH = (
        1110, 409, Outcome.UNKNOWN, "The id was used before with another body.",
    )  # fmt: skip
    INTERNAL = 1900, 500, Outcome.UNKNOWN, "An internal error; the outcome is unknown."
    QUEUE_FULL = 2001, 503, Outcome.NOT_RUN, "The queue is full; retry later."
    EXPIRED = 2002, 504, Outcome.NOT_RUN, "The deadline passed before the work started."
    UNPLACEABLE = 2003, 422, Outcome.NOT_RUN, "No VM or shard can ever hold the work."
    CANCELLED = 2004, 410, Outcome.NOT_RUN, "The request was cancelled before it ran."
    HOME_UNREACHABLE = (
        2005, 503, Outcome.NOT_RUN, "The data centre that owns this key is cut off.",
    )  # fmt: skip
    NOT_OWNER = 2006, 503, Outcome.NOT_RUN, "No process owns the shard at the moment."
    NOT_READY = 2007, 503, Outcome.NOT_RUN, "The process holds no configuration yet."
    SHUTTING_DOWN = 2008, 503, Outcome.NOT_RUN, "The process is shutting down."
    UNKNOWN_TARGET = 2009, 422, Outcome.NOT_RUN, "No such target is configured."
    QUOTA_EXCEEDED = 2010, 422, Outcome.NOT_RUN, "The work exceeds the team's quota."
    ID_EXPIRED = (
        2011, 409, Outcome.UNKNOWN, "The request id is older than ids are remembered.",
    )  # fmt: skip
    ID_IN_FUTURE = (
        2012, 422, Outcome.NOT_RUN, "The request id was issued in the future.",
    )  # fmt: skip
    EXCLUSIVE_PAUSED = (
        2013, 503, Outcome.NOT_RUN, "Exclusive work is paused until ownership is sure.",
    )  # fmt: skip
    UNKNOWN_OUTCOME = 3001, 504, Outcome.UNKNOWN, "It is not known whether this ran."
    FAILED = 3002, 500, Outcome.RAN, "The work ran and failed."
    TIMED_OUT = 3003, 504, Outcome.UNKNOWN, "The deadline passed while it ran."
    STOPPED = 3004, 410, Outcome.RAN, "The work was stopped after it started."
    TICKET_ACCEPTED = 4000, 200, Outcome.RAN, "The ticket is accepted."
    TICKET_CONFLICT = 4001, 409, Outcome.NOT_RUN, "Another ticket was accepted first."
    TICKET_INVALID = 4002, 422, Outcome.NOT_RUN, "The ticket is not valid."
    TICKET_NOT_ACCEPTED = (
        4003, 503, Outcome.NOT_RUN, "The store is down; the ticket is not accepted.",
    )  # fmt: skip
    TICKET_UNKNOWN = (
        4004, 504, Outcome.UNKNOWN, "Acceptance is unknown; ask again with this uid.",
    )  # fmt: skip
    TICKET_TOO_LARGE = 4005, 413, Outcome.NOT_RUN, "An object exceeds the size limit."
    TICKET_REUSED = (
        4006, 409, Outcome.NOT_RUN, "The uid was used for a different ticket.",
    )  # fmt: skip
    SETTINGS_UNREADABLE = 5001, 500, Outcome.NOT_RUN, "The settings cannot be read."
    SETTINGS_INVALID = 5002, 500, Outcome.NOT_RUN, "A setting is invalid."
    STALE_EPOCH = 6001, 409, Outcome.NOT_RUN, "The epoch is older than one seen before."
    NO_AUTHORITY = 6002, 503, Outcome.NOT_RUN, "The process's authority has lapsed."
    PEER_UNREACHABLE = 6003, 503, Outcome.NOT_RUN, "The peer could not be reached."
    PEER_TIMEOUT = 6004, 504, Outcome.UNKNOWN, "The peer did not answer in time."
    START_EXPIRED = 7001, 409, Outcome.NOT_RUN, "The start reached the worker too late."
    ATTEMPT_REPEATED = 7002, 409, Outcome.UNKNOWN, "The worker has seen this attempt."
    WORKER_FULL = 7003, 503, Outcome.NOT_RUN, "The worker has no room for the task."
    WORKER_UNREACHABLE = 7004, 503, Outcome.UNKNOWN, "The worker did not answer."
    WORKER_LOST = 7005, 502, Outcome.UNKNOWN, "The worker failed while the work ran."
